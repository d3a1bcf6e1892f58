package cwmesh

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestCheckedHistory simulates a store that is restored from backups, together with crashes and
// suspensions of entry VMs, network partitions, packet loss and paused processes whose
// heartbeats wait. Checked decides whether an entry VM may still rely on the API keys that it
// has, so it must never return a time before which a configuration was acknowledged that the
// entry VM lacks. TestRestoreHistory checks the same in larger fleets.
func TestCheckedHistory(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		vms, steps int
		seed       uint64
	}{
		"17 VMs":               {17, 40, 11},
		"17 VMs, another seed": {17, 40, 12},
		"60 VMs":               {60, 5, 13},
		"127 VMs":              {127, 2, 14},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const (
				lost = 0.02
				// enough is the fraction of moments at which what an entry VM knows has to be fresh,
				// with a store that is down for a good part of the time.
				enough = 0.3
				young  = 3500 * time.Millisecond
			)

			f := newFleetHistory(t, c.seed, c.vms)
			f.play(2 * simFormTime)

			f.loss = lost
			freshness := freshnessCheck{fleetHistory: f, maxAge: young}
			f.checked = freshness.check

			for range c.steps {
				f.disturb()
				f.store.configure()
				f.stopFor(f.vms[f.rnd.IntN(len(f.vms))], time.Duration(f.rnd.Int64N(int64(4*time.Second))))
				f.play(time.Duration(f.rnd.Int64N(int64(time.Second))))
			}

			if part := float64(freshness.fresh) / float64(freshness.moments); part < enough {
				t.Errorf("Checked was recent at only %.2f of all moments", part)
			}
		})
	}
}

// freshnessCheck counts the moments at which entry VMs have fresh knowledge of the store.
type freshnessCheck struct {
	*fleetHistory

	maxAge         time.Duration
	fresh, moments int
}

// check verifies that no entry VM claims to be more up to date than it is.
func (k *freshnessCheck) check() {
	for _, v := range k.vms {
		h := k.serving(v)
		if h == nil {
			continue
		}

		k.moments++

		at := v.mesh.Checked()
		if k.now.Sub(at) < k.maxAge {
			k.fresh++
		}

		// Ages leave out the time in transit: this covers some hops until a claim has reached all.
		const maxDelay = 8 * simStep

		if at.After(k.store.acked.Add(maxDelay)) && h.version < k.store.version {
			k.fail("%s has configuration %d and claims to have all from before %s ago, but %d was acknowledged %s earlier",
				v.node.ID, h.version, k.now.Sub(at), k.store.version, at.Sub(k.store.acked))
		}
	}
}

// serving returns the record of an entry VM if it runs and serves.
func (k *freshnessCheck) serving(v *simVM) *historyVM {
	h := k.historyVMs[v]
	if h == nil || !v.alive || h.suspended || v.stopped {
		return nil
	}

	return h
}

// stopFor pauses the process of an entry VM for a time. Datagrams to it wait.
func (f *fleetHistory) stopFor(v *simVM, d time.Duration) {
	h := f.historyVMs[v]
	if h == nil || !v.alive {
		return
	}

	v.stopped, h.suspended = true, true
	f.play(d)
	v.stopped, h.suspended = false, false
	h.steadySince = f.now
}

// TestPauseMeter checks for how long a heartbeat may have waited for a paused process.
func TestPauseMeter(t *testing.T) {
	const tick = 100 * time.Millisecond

	start := time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

	for name, c := range map[string]struct {
		ticks []time.Duration
		at    time.Duration
		want  time.Duration
	}{
		"no tick yet":           {nil, time.Hour, 0},
		"right after a tick":    {[]time.Duration{tick, 2 * tick}, 2 * tick, tick},
		"tick is due":           {[]time.Duration{tick, 2 * tick}, 3 * tick, tick},
		"paused, no tick since": {[]time.Duration{tick}, 8 * tick, 7 * tick},
		"tick after a pause":    {[]time.Duration{tick, 8 * tick}, 8 * tick, 7 * tick},
		"next tick after that":  {[]time.Duration{tick, 8 * tick, 9 * tick}, 9 * tick, 7 * tick},
		"long after the pause":  {[]time.Duration{tick, 8 * tick, 9 * tick, 10 * tick, 11 * tick}, 12 * tick, tick},
	} {
		t.Run(name, func(t *testing.T) {
			p := pauseMeter{}
			for _, at := range c.ticks {
				p.markTick(start.Add(at))
			}

			if diff := cmp.Diff(c.want, p.waited(start.Add(c.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPaused checks how much of the time since a given one the process was paused.
func TestPaused(t *testing.T) {
	const tick = 100 * time.Millisecond

	start := time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

	for name, c := range map[string]struct {
		ticks     []time.Duration
		since, at time.Duration
		want      time.Duration
	}{
		"no tick yet":              {nil, 0, time.Hour, 0},
		"it runs":                  {[]time.Duration{0, tick, 2 * tick}, 0, 3 * tick, 0},
		"a tick is late":           {[]time.Duration{0, 2 * tick}, 0, 4 * tick, 0},
		"paused, no tick since":    {[]time.Duration{0, tick}, 0, 9 * tick, 8 * tick},
		"paused, ticked since":     {[]time.Duration{0, tick, 9 * tick}, 0, 9 * tick, 8 * tick},
		"long after the pause":     {[]time.Duration{0, 9 * tick, 10 * tick, 11 * tick}, 0, 12 * tick, 9 * tick},
		"since a time in a pause":  {[]time.Duration{0, 9 * tick}, 4 * tick, 9 * tick, 5 * tick},
		"since a time after it":    {[]time.Duration{0, 9 * tick, 10 * tick}, 9 * tick, 10 * tick, 0},
		"two pauses, the last one": {[]time.Duration{0, 5 * tick, 9 * tick}, 0, 9 * tick, 4 * tick},
	} {
		t.Run(name, func(t *testing.T) {
			p := pauseMeter{}
			for _, at := range c.ticks {
				p.markTick(start.Add(at))
			}

			if diff := cmp.Diff(c.want, p.paused(start.Add(c.since), start.Add(c.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestClaims checks what is known of the replica after claims in a given order.
func TestClaims(t *testing.T) {
	start := time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

	type answer struct {
		nth uint64
		at  time.Duration
		now time.Duration
		era carobward.StoreEra
	}

	for name, c := range map[string]struct {
		answers []answer
		want    time.Duration
	}{
		"the first":         {[]answer{{1, 1, 2, 1}}, 1},
		"an older claim":    {[]answer{{2, 3, 4, 1}, {1, 1, 5, 1}}, 3},
		"a duplicate":       {[]answer{{1, 3, 4, 1}, {1, 9, 10, 1}}, 3},
		"a new era":         {[]answer{{1, 3, 4, 1}, {2, 5, 6, 2}}, 3},
		"a settled new era": {[]answer{{1, 3, 4, 1}, {2, 5, 6, 2}, {3, 7 + eraSettleTime, 8 + eraSettleTime, 2}}, 7 + eraSettleTime},
	} {
		t.Run(name, func(t *testing.T) {
			k := newClaims()
			for _, w := range c.answers {
				one := claim{stamp: stamp{1, w.nth}, asked: start.Add(w.at), answered: start.Add(w.at)}
				k.apply(&one, start.Add(w.now), w.era, 0)
			}

			if diff := cmp.Diff(c.want, k.checked.Sub(start)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCheckedAtStart verifies that an entry VM which has just started knows that its replica is
// up to date as soon as the store has answered, unless the store may lack what peers keep.
func TestCheckedAtStart(t *testing.T) {
	for name, c := range map[string]struct {
		era   carobward.StoreEra
		after time.Duration
		want  bool
	}{
		"no eras":                {0, 20 * time.Millisecond, true},
		"an era, at once":        {1, 20 * time.Millisecond, false},
		"an era, before the end": {1, startSettleTime - time.Millisecond, false},
		"an era, settled":        {1, startSettleTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &stepClock{now: time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)}
			m := New(Options{Table: NewTable(Node{ID: "self"}), Mirror: newMirror(), Clock: clock, Log: logr.Discard(), Notices: noNotices, Changed: func([]carobward.Item) {}}, nil)

			clock.now = clock.now.Add(10 * time.Millisecond)
			if _, err := m.TakeAnswer(carobward.Changes{Era: c.era, Index: 7, Full: true}, clock.now); err != nil {
				t.Fatal(err)
			}

			clock.now = m.started.Add(c.after)
			if diff := cmp.Diff(c.want, !m.Checked().IsZero()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSeenNumbersEviction checks that the runs whose statements were added last are remembered.
func TestSeenNumbersEviction(t *testing.T) {
	s, now := seenNumbers{}, time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

	for by := range uint64(2 * maxSeenNumbers) {
		s.add(stamp{1 + by, 5}, now.Add(time.Duration(by)))
	}

	if s.add(stamp{2 * maxSeenNumbers, 5}, now) || len(s) > maxSeenNumbers {
		t.Errorf("the last statement counts as new again, or %d remembered runs are too many", len(s))
	}
}

// TestAgeWithoutStore takes the store down: what entry VMs know of it has to age as fast as time passes,
// however often they pass claims on to each other.
func TestAgeWithoutStore(t *testing.T) {
	t.Parallel()

	const (
		vms   = 125
		quiet = 8 * time.Second
		// spreadTime is the time that a claim needs to reach all entry VMs.
		spreadTime = 100 * time.Millisecond
	)

	f := newFleetHistory(t, 21, vms)
	f.play(2 * simFormTime)
	f.store.down = true

	before := f.now
	f.play(quiet)

	for _, v := range f.vms {
		if fresh, last := v.mesh.Fresh(), v.mesh.LastStoreAnswer(); fresh.After(before.Add(spreadTime)) || last.After(before.Add(spreadTime)) {
			t.Fatalf("%s: the replica counts as %s old, the last answer as %s old; the store has been down for %s",
				v.node.ID, f.now.Sub(fresh), f.now.Sub(last), quiet)
		}
	}
}
