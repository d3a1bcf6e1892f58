package cwmesh

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// claim says that copies of the store had all there was: the answer to a call that an entry
// VM made showed it. Claims are passed on in heartbeats by their age, which does not count
// the ways between. An entry VM takes each one once, by its number: taken again by way of
// others it would look younger each time, the faster the more of them pass it on.
type claim struct {
	// by is the boot of the entry VM that made the call, nth the number of the call there.
	by, nth uint64
	// asked is when the call was made: all that the store acknowledged before is in the
	// copy. Answered is when the answer came, which may have been long on its way.
	asked, answered time.Time
}

// claimOf reads the claim of a heartbeat.
func claimOf(b *cwwire.Beat, now time.Time) claim {
	return claim{by: b.GetBy(), nth: b.GetNth(), asked: decodeFresh(b.GetChecked(), now), answered: decodeFresh(b.GetFresh(), now)}
}

// seen has the newest claim of each entry VM that was taken.
type seen map[uint64]seenClaim

type seenClaim struct {
	nth uint64
	at  time.Time
}

// seenMost is how many entry VMs' claims are remembered. Few ask the store at any time.
const seenMost = 256

// take notes a claim, and tells whether it is news. One without a number always is.
func (s seen) take(c *claim, now time.Time) bool {
	if c.by == 0 {
		return true
	}

	if old, ok := s[c.by]; ok && c.nth <= old.nth {
		return false
	}

	if len(s) >= seenMost {
		s.forget()
	}

	s[c.by] = seenClaim{c.nth, now}

	return true
}

// forget drops the claim that was taken first.
func (s seen) forget() {
	first := uint64(0)

	for by, c := range s {
		if first == 0 || c.at.Before(s[first].at) {
			first = by
		}
	}

	delete(s, first)
}

// The figures of taking claims.
const (
	// stopDoubt is for how long after the process was stopped a heartbeat may be taken that
	// waited meanwhile. They are taken one after the other, without a pause.
	stopDoubt = 300 * time.Millisecond
	// eraSettle is for how long after it entered an era of the store an entry VM may not
	// have heard of what others keep in force that the store has lost: two heartbeats.
	eraSettle = 2 * beatTime
	// startSettle is the same for one that starts anew, by when peers have answered it
	// several times over.
	startSettle = 500 * time.Millisecond
)

// claims tells when the copy was the newest. It is guarded by the mutex of its Mesh.
type claims struct {
	// newest is the one that was answered last of those that hold for this copy.
	newest claim
	// checked is by when all that the store acknowledged is in the copy: when the call of a
	// claim was made, less the time for which its heartbeat may have waited here.
	checked time.Time
	// word is when the store last answered anybody, as far as was heard.
	word time.Time
	// took has the claims that were taken for the copy, heard those that were heard.
	took, heard seen
	running     running
	// era is that of the copy, entered when it changed.
	era     carobward.StoreEra
	entered time.Time
}

func newClaims() claims { return claims{took: seen{}, heard: seen{}} }

// hear takes what a claim says of the store alone.
func (c *claims) hear(one *claim, now time.Time) {
	if c.heard.take(one, now) && one.answered.After(c.word) {
		c.word = one.answered
	}
}

// take takes a claim that holds for the copy, which is of an era. It may have waited here
// for a time.
func (c *claims) take(one *claim, now time.Time, era carobward.StoreEra, waited time.Duration) {
	if era != c.era && !c.checked.IsZero() {
		c.entered = now
	}

	c.era = era

	if !c.took.take(one, now) {
		return
	}

	if one.answered.After(c.newest.answered) {
		c.newest = *one
	}

	if one.answered.After(c.word) {
		c.word = one.answered
	}

	settled := c.entered.IsZero() || now.Sub(c.entered) >= eraSettle
	if asked := one.asked.Add(-waited); settled && asked.After(c.checked) {
		c.checked = asked
	}
}

// setBack counts a time that the clock did not.
func (c *claims) setBack(by time.Duration) {
	for _, at := range []*time.Time{&c.newest.answered, &c.newest.asked, &c.checked, &c.word} {
		*at = carobward.SetBack(*at, by)
	}
}

// running tells for how long a heartbeat may have waited for the process, which makes what
// it says of ages older.
type running struct {
	// seen is when the process was last known to run.
	seen time.Time
	// gap is how long it may have been stopped before, which counts until doubt.
	gap   time.Duration
	doubt time.Time
}

// note takes a tick of the process.
func (r *running) note(now time.Time) {
	if r.seen.IsZero() {
		r.seen = now
	}

	// A longer one stands until the heartbeats that waited in it have been taken.
	if gap := now.Sub(r.seen); gap >= r.gap || !now.Before(r.doubt) {
		r.gap, r.doubt = gap, now.Add(stopDoubt)
	}

	r.seen = now
}

// waited returns for how long a heartbeat that is taken now may have waited.
func (r *running) waited(now time.Time) time.Duration {
	if r.seen.IsZero() {
		return 0
	}

	return max(r.gap, now.Sub(r.seen))
}

// Running notes that the process runs. What Checked returns is older by the time between
// two calls.
func (m *Mesh) Running(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.running.note(now)
}

// Fresh returns when the copy was last known to be the newest, or the zero
// time.
func (m *Mesh) Fresh() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.newest.answered
}

// Checked returns by when all that the store acknowledged is in the copy, or the zero time.
// It is older than Fresh by the time that the store's answer took, and not known right after
// the start: the store may lack what peers keep.
func (m *Mesh) Checked() time.Time {
	if m.Clock.Now().Sub(m.began) < startSettle {
		return time.Time{}
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.checked
}

// Word returns when the store last answered anybody, as far as was heard, or
// the zero time. It may be newer than Fresh: this entry VM may be behind.
func (m *Mesh) Word() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return m.claims.word
}

// answered notes an answer of the store to a call of this entry VM that showed its copy to
// be the newest.
func (m *Mesh) answered(asked, at time.Time) {
	era := m.Mirror.State().Era

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.nth++
	m.claims.take(&claim{by: m.boot, nth: m.nth, asked: asked, answered: at}, at, era, 0)
}

// hear takes what a claim says of the store, whether it holds for the copy here or not.
func (m *Mesh) hear(c claim, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.hear(&c, now)
}

// takeClaim takes a claim from a peer's heartbeat that holds for the copy here, which is of
// an era.
func (m *Mesh) takeClaim(c claim, now time.Time, era carobward.StoreEra) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.take(&c, now, era, m.claims.running.waited(now))
}

// takeFetched takes the claim of a peer's reply with changes that were taken; its ages are
// those of when the request was sent.
func (m *Mesh) takeFetched(r *cwwire.ChangesReply, sent time.Time, era carobward.StoreEra) {
	c := claim{by: r.GetBy(), nth: r.GetNth(), asked: decodeFresh(r.GetChecked(), sent), answered: decodeFresh(r.GetFresh(), sent)}
	now := m.Clock.Now()

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.take(&c, now, era, 0)
}

// claim returns the newest claim to pass on. It must be read before the copy that it is
// sent with, which may go further meanwhile and has all of it then.
func (m *Mesh) claim() claim {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	c := m.claims.newest
	c.asked = m.claims.checked

	return c
}
