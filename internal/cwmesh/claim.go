package cwmesh

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// claim states that replicas of the store were up to date at a time, as the store's answer
// to a call of an entry VM has shown. Heartbeats pass a claim on as an age, which leaves out
// the time in transit. Each entry VM therefore applies a claim only once, by its number:
// received again through other peers, it would look younger each time, and all the more so
// in a larger fleet.
type claim struct {
	// stamp has the run of the entry VM that made the call, and the number of the call.
	stamp
	// asked is when the call was made: all that the store acknowledged before is in the
	// replica. Answered is when the answer came, which may be much later.
	asked, answered time.Time
}

// claimOf returns the claim of a heartbeat.
func claimOf(b *cwwire.Beat, now time.Time) claim {
	return claim{stamp: stamp{b.GetBy(), b.GetNth()}, asked: decodeAge(b.GetChecked(), now), answered: decodeAge(b.GetFresh(), now)}
}

// Periods during which claims are unreliable.
const (
	// backlogTime is for how long after a pause of the process heartbeats that arrived
	// during the pause may still be read. They are read one after the other, without a delay.
	backlogTime = 300 * time.Millisecond
	// eraSettleTime is for how long after it entered an era of the store an entry VM may lack
	// items that the store has lost and peers keep in force: two heartbeats.
	eraSettleTime = 2 * heartbeatInterval
	// startSettleTime is the same for an entry VM that has just started: enough for peers to
	// answer it several times.
	startSettleTime = 500 * time.Millisecond
)

// claims tracks when the replica was up to date. It is guarded by the mutex of its Mesh.
type claims struct {
	// newest is the claim answered last of those that hold for this replica.
	newest claim
	// checked is the time before which all that the store acknowledged is in the replica:
	// when a claim's call was made, less the time its heartbeat may have waited here.
	checked time.Time
	// lastAnswer is when the store last answered any entry VM, as far as is known.
	lastAnswer time.Time
	// applied has the claims applied to the replica, received those of all heartbeats.
	applied, received seenNumbers
	pauses            pauseMeter
	// era is that of the replica, entered is when it changed.
	era     carobward.StoreEra
	entered time.Time
}

func newClaims() claims { return claims{applied: seenNumbers{}, received: seenNumbers{}} }

// noteAnswer records only that the store answered, and when.
func (c *claims) noteAnswer(in *claim, now time.Time) {
	if c.received.add(in.stamp, now) && in.answered.After(c.lastAnswer) {
		c.lastAnswer = in.answered
	}
}

// apply applies a claim that holds for the replica, which is of the given era. The claim's
// heartbeat may have waited here for the given time.
func (c *claims) apply(in *claim, now time.Time, era carobward.StoreEra, waited time.Duration) {
	if era != c.era && !c.checked.IsZero() {
		c.entered = now
	}

	c.era = era

	if !c.applied.add(in.stamp, now) {
		return
	}

	if in.answered.After(c.newest.answered) {
		c.newest = *in
	}

	if in.answered.After(c.lastAnswer) {
		c.lastAnswer = in.answered
	}

	settled := c.entered.IsZero() || now.Sub(c.entered) >= eraSettleTime
	if asked := in.asked.Add(-waited); settled && asked.After(c.checked) {
		c.checked = asked
	}
}

// setBack adds a time that the clock did not count to all ages.
func (c *claims) setBack(by time.Duration) {
	for _, at := range []*time.Time{&c.newest.answered, &c.newest.asked, &c.checked, &c.lastAnswer} {
		*at = carobward.SetBack(*at, by)
	}
}

// pauseMeter tracks pauses of the process, and so how long a heartbeat may have waited to
// be read: the ages in it are too low by up to that time.
type pauseMeter struct {
	// lastTick is when the process was last known to run.
	lastTick time.Time
	// gap is how long the process may have been paused before that, which counts until gapUntil.
	gap      time.Duration
	gapUntil time.Time
	// pausedFrom and pausedTo are the begin and the end of the last pause of minPause or more.
	pausedFrom, pausedTo time.Time
}

// minPause is the time between two ticks from which on the process counts as paused: three times
// the usual one.
const minPause = 300 * time.Millisecond

// markTick records that the process runs.
func (p *pauseMeter) markTick(now time.Time) {
	if p.lastTick.IsZero() {
		p.lastTick = now
	}

	// A longer gap counts until the heartbeats that waited during it have been read.
	if gap := now.Sub(p.lastTick); gap >= p.gap || !now.Before(p.gapUntil) {
		p.gap, p.gapUntil = gap, now.Add(backlogTime)
	}

	if now.Sub(p.lastTick) >= minPause {
		p.pausedFrom, p.pausedTo = p.lastTick, now
	}

	p.lastTick = now
}

// addSuspension records a suspension of the VM, which the clock does not count. What was received
// before may still be read after it.
func (p *pauseMeter) addSuspension(by time.Duration, now time.Time) {
	p.gap, p.gapUntil = max(p.gap, by), now.Add(backlogTime)
}

// paused returns for how long the process was paused since a time, counting its last pause.
func (p *pauseMeter) paused(since, now time.Time) time.Duration {
	from, to := p.pausedFrom, p.pausedTo
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) >= minPause { // It has not ticked yet after a pause.
		from, to = p.lastTick, now
	}

	if since.After(from) {
		from = since
	}

	return max(0, to.Sub(from))
}

// waited returns for how long a heartbeat that is read now may have waited.
func (p *pauseMeter) waited(now time.Time) time.Duration {
	if p.lastTick.IsZero() {
		return 0
	}

	return max(p.gap, now.Sub(p.lastTick))
}

// MarkRunning records that the process runs. The time between two calls is subtracted from
// what Checked returns.
func (m *Mesh) MarkRunning(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.pauses.markTick(now)
}

// RunningAge returns the age of a time without the last pause of the process: meanwhile it could
// not hear of anything newer.
func (m *Mesh) RunningAge(of, now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return now.Sub(of) - m.claims.pauses.paused(of, now)
}

// HeardUntil returns the time up to which the messages of peers are known to have been read: now,
// but the begin of a pause of the process right after it. What peers have not said since then says
// nothing about them.
func (m *Mesh) HeardUntil(now time.Time) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if waited := m.claims.pauses.waited(now); waited >= minPause {
		return now.Add(-waited)
	}

	return now
}

// Fresh returns when the replica was last known to be up to date, or the zero
// time.
func (m *Mesh) Fresh() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.newest.answered
}

// Checked returns the time before which all that the store acknowledged is in the replica,
// or the zero time. It is earlier than Fresh by the time the store took to answer, and
// unknown until SettlesIn is over.
func (m *Mesh) Checked() time.Time {
	if m.SettlesIn(m.Clock.Now()) > 0 {
		return time.Time{}
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.checked
}

// SettlesIn returns how long from now Checked stays unknown, at most zero if it is available.
// It is unknown right after the start if the store has eras, that is, may be restored from a
// backup: such a store may lack items that peers keep. A store that reports no era is never
// restored, and lacks nothing.
func (m *Mesh) SettlesIn(now time.Time) time.Duration {
	if m.Mirror.State().Era == 0 {
		return 0
	}

	return startSettleTime - now.Sub(m.started)
}

// LastStoreAnswer returns when the store last answered any entry VM, as far as is known, or
// the zero time. It may be later than Fresh: this entry VM may be behind.
func (m *Mesh) LastStoreAnswer() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.lastAnswer
}

// answered records an answer of the store to a call of this entry VM, which showed that the
// replica is up to date.
func (m *Mesh) answered(asked, at time.Time) {
	era := m.Mirror.State().Era

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.answers++
	m.claims.apply(&claim{stamp: stamp{m.boot, m.answers}, asked: asked, answered: at}, at, era, 0)
}

// noteAnswer records that the store answered, whether the claim holds for this replica or not.
func (m *Mesh) noteAnswer(c claim, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.noteAnswer(&c, now)
}

// applyClaim applies a claim from a peer's heartbeat that holds for the replica here, which
// is of the given era.
func (m *Mesh) applyClaim(c claim, now time.Time, era carobward.StoreEra) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.apply(&c, now, era, m.claims.pauses.waited(now))
}

// applyFetchedClaim applies the claim of a peer's reply to a fetch; its ages count from when
// the request was sent.
func (m *Mesh) applyFetchedClaim(r *cwwire.ChangesReply, sent time.Time, era carobward.StoreEra) {
	c := claim{stamp: stamp{r.GetBy(), r.GetNth()}, asked: decodeAge(r.GetChecked(), sent), answered: decodeAge(r.GetFresh(), sent)}
	now := m.Clock.Now()

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.apply(&c, now, era, 0)
}

// claim returns the newest claim to pass on. It must be read before the replica that it is
// sent with: that may advance in between, and the claim then still holds for it.
func (m *Mesh) claim() claim {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	c := m.claims.newest
	c.asked = m.claims.checked

	return c
}
