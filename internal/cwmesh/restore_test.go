package cwmesh

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/rpc"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// Parameters of the simulated store and of the entry VMs that ask it.
const (
	simConfig  = carobward.Key("op/config")
	simServers = 40
	// askInterval is the time between checks whether to ask the store, staleAge the age of its
	// last answer at which entry VMs other than the first ask, each turnAge later than the one before.
	askInterval = 100 * time.Millisecond
	staleAge    = 950 * time.Millisecond
	turnAge     = 80 * time.Millisecond
	maxTurns    = 8
	// goneAge is for how long a removed key is remembered.
	goneAge = 10 * time.Second
	// forceTime is the time within which an acknowledged configuration has to be in force.
	forceTime = 2 * time.Second
	// rewriteTime is the time within which servers have written their entries again.
	rewriteTime = 1500 * time.Millisecond
	// settleTime is for how long an entry VM has to have run with a reachable store before its
	// bounds are checked.
	settleTime = 3 * time.Second
)

// historyVM is the test's record of one entry VM.
type historyVM struct {
	*simVM

	answers *Answers
	// values has the values that are in force there.
	values map[carobward.Key]string
	// left has the servers that were seen draining or removed there.
	left map[carobward.Key]bool
	// version is the highest configuration that has been in force.
	version  int
	nextAsk  time.Time
	listNext bool
	// steadySince is since when it has run with a reachable store.
	steadySince time.Time
	suspended   bool
}

// fleetHistory is a simulated fleet with a store, and a record of each entry VM.
type fleetHistory struct {
	*sim

	t          *testing.T
	store      *simStore
	historyVMs map[*simVM]*historyVM
	// checked is called at each step, if set.
	checked  func()
	failures int
}

// rank returns the number at the end of a value.
func rank(_ carobward.Key, value []byte) carobward.Rank {
	_, text, _ := strings.Cut(string(value), " ")
	n, _ := strconv.ParseUint(text, 10, 64)

	return carobward.Rank{Write: n}
}

func newFleetHistory(t *testing.T, seed uint64, vms int) *fleetHistory {
	t.Helper()

	f := &fleetHistory{sim: newSim(seed, vms), t: t, historyVMs: map[*simVM]*historyVM{}}
	f.store = newSimStore(f.sim)

	for _, v := range f.vms {
		v.onStart = f.setUp
	}

	return f
}

// setUp prepares an entry VM that starts.
func (f *fleetHistory) setUp(v *simVM) {
	h := &historyVM{simVM: v, values: map[carobward.Key]string{}, left: map[carobward.Key]bool{}, steadySince: f.now}
	f.historyVMs[v] = h
	isRouting := func(k carobward.Key) bool { return k == simConfig }

	v.mesh.Mirror = cwmirror.New(cwmirror.Options{
		Rank: rank, IsRouting: isRouting, IsBackend: func(k carobward.Key) bool { return !isRouting(k) },
		Retention: func(it carobward.Item) time.Duration {
			switch {
			case isRouting(it.Key):
				return carobward.Forever
			case it.Deleted:
				return goneAge
			default:
				return cwmirror.ReregisterTime
			}
		},
	})
	v.mesh.Changed = func(items []carobward.Item) { f.changed(h, items) }
	v.mesh.call = func(_ context.Context, to carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
		return f.call(h, to, in, out)
	}
	h.answers = NewAnswers(v.mesh)
}

// changed records what comes into force at an entry VM, and checks that nothing is reverted.
func (f *fleetHistory) changed(h *historyVM, items []carobward.Item) {
	for _, it := range items {
		state, _, _ := strings.Cut(string(it.Value), " ")
		if it.Deleted {
			state = "gone"
		}

		if it.Key == simConfig {
			f.configured(h, int(rank(it.Key, it.Value).Write))

			continue
		}

		if h.left[it.Key] && state == "ready" && f.now.Sub(f.store.stableSince) < goneAge {
			f.fail("%s has %s ready again after it left", h.node.ID, it.Key)
		}

		h.left[it.Key] = h.left[it.Key] || state == "draining" || state == "gone" && f.store.states[it.Key] != "ready"
		h.values[it.Key] = state
	}
}

func (f *fleetHistory) configured(h *historyVM, version int) {
	if version < h.version {
		f.fail("%s has configuration %d after %d", h.node.ID, version, h.version)
	}

	h.version = version
}

func (f *fleetHistory) fail(format string, args ...any) {
	const maxReported = 10

	if f.failures++; f.failures <= maxReported {
		f.t.Errorf(format, args...)
	}
}

// call lets a peer answer a fetch.
func (f *fleetHistory) call(h *historyVM, to carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
	peer := f.byPeers[to]
	if !peer.alive || f.historyVMs[peer].suspended || f.isCut(h.simVM, peer) {
		return errors.New("no answer")
	}

	if err := f.historyVMs[peer].answers.Changes(in, out); err != nil {
		return rpc.ServerError(err.Error())
	}

	return nil
}

func (f *fleetHistory) isCut(a, b *simVM) bool {
	return a.node.Domain != b.node.Domain && (a.node.Domain == f.cut || b.node.Domain == f.cut)
}

// isStoreReachable reports whether the store serves an entry VM.
func (f *fleetHistory) isStoreReachable(v *simVM) bool {
	return !f.store.down && v.node.Domain != f.store.unserved
}

// step lets an entry VM fetch from a peer that is ahead, and ask the store if it is due. Place is
// its position in the order in which entry VMs query the store.
func (f *fleetHistory) step(h *historyVM, place int) {
	select {
	case o := <-h.mesh.offers:
		if h.mesh.isNeeded(o) {
			if err := h.mesh.fetch(context.Background(), o.from, false); err != nil && isPeerError(err, errGap) {
				h.mesh.noteGap()
			}
		}
	default:
	}

	if f.now.Before(h.nextAsk) {
		return
	}

	h.nextAsk = f.now.Add(askInterval)
	h.mesh.Mirror.Sweep(f.now, h.mesh.Changed)

	age := f.now.Sub(h.mesh.Fresh())
	if due := place == 0 || age > staleAge+turnAge*time.Duration(min(place, maxTurns)) || h.mesh.NeedsStore(); !due || !f.isStoreReachable(h.simVM) {
		return
	}

	f.ask(h)
}

func (f *fleetHistory) ask(h *historyVM) {
	after := h.mesh.Mirror.State().Index

	c, err := f.store.answer(after, h.listNext || after == 0)
	if err == nil {
		_, err = h.mesh.TakeAnswer(c, h.mesh.Clock.Now())
	}

	h.listNext = errors.Is(err, carobward.ErrHistoryGone)
	if h.listNext {
		h.nextAsk = f.now
	}
}

// play runs the simulation for a time.
func (f *fleetHistory) play(d time.Duration) {
	f.run(d, func() {
		place := 0

		for _, v := range f.vms {
			h := f.historyVMs[v]
			if h == nil || !v.alive || h.suspended {
				continue
			}

			f.step(h, place)

			if f.isStoreReachable(v) {
				place++
			} else {
				h.steadySince = f.now
			}
		}

		f.checkInForce()

		if f.checked != nil {
			f.checked()
		}
	})
}

// checkInForce checks that an acknowledged configuration is in force on all entry VMs that
// have run with a reachable store.
func (f *fleetHistory) checkInForce() {
	since := f.now.Add(-forceTime)
	if f.store.acked.After(since) || f.store.stableSince.After(f.now.Add(-settleTime)) {
		return
	}

	for _, v := range f.vms {
		if h := f.historyVMs[v]; v.alive && h != nil && !h.suspended && h.steadySince.Before(f.now.Add(-settleTime)) && h.version < f.store.version {
			f.fail("%s has configuration %d %s after %d was acknowledged", v.node.ID, h.version, f.now.Sub(f.store.acked), f.store.version)
		}
	}
}

// disturb applies one random fault or change to the store or to entry VMs.
func (f *fleetHistory) disturb() {
	v := f.vms[f.rnd.IntN(len(f.vms))]

	switch f.rnd.IntN(12) {
	case 0, 1:
		f.store.save()
	case 2, 3, 4:
		f.outage(time.Duration(f.rnd.Int64N(int64(3 * time.Second))))
	case 5:
		f.store.configure()
		f.store.server(f.rnd.IntN(simServers), "draining")
	case 6:
		f.store.server(f.rnd.IntN(simServers), "gone")
	case 7:
		v.stop()
		v.startAt = f.now.Add(time.Duration(f.rnd.Int64N(int64(2 * time.Second))))
	case 8:
		f.suspend(v, time.Duration(f.rnd.Int64N(int64(4*time.Second))))
	case 9:
		f.cut = v.node.Domain
		f.store.unserved = v.node.Domain
		f.play(time.Duration(f.rnd.Int64N(int64(4 * time.Second))))
		f.cut, f.store.unserved = "", ""
	case 10:
		f.store.unserved = v.node.Domain
		f.play(time.Duration(f.rnd.Int64N(int64(4 * time.Second))))
		f.store.unserved = ""
	case 11:
		f.store.floor = f.store.index
	}
}

// outage takes the store down and restores it from its backup; servers then write again.
func (f *fleetHistory) outage(d time.Duration) {
	f.store.down = true
	f.play(d)
	f.store.restore()
	f.store.down = false
	f.store.stableSince = f.now
	f.play(time.Duration(f.rnd.Int64N(int64(rewriteTime))))
	f.store.rewriteLost()

	if !slices.ContainsFunc(f.vms, f.hasNewestConfig) {
		// The store lost the configuration before any entry VM had it.
		f.store.put(f.store.config())
		f.store.acked = f.now
	}

	f.store.stableSince = f.now
}

// hasNewestConfig reports whether a running entry VM has the newest configuration.
func (f *fleetHistory) hasNewestConfig(v *simVM) bool {
	h := f.historyVMs[v]

	return h != nil && v.alive && !v.suspended && h.version == f.store.version
}

func (f *fleetHistory) suspend(v *simVM, d time.Duration) {
	h := f.historyVMs[v]
	if h == nil || !v.alive {
		return
	}

	h.suspended, v.suspended = true, true
	f.play(d)
	h.suspended, v.suspended = false, false
	h.steadySince = f.now
}

// TestRestoreHistory simulates a store that is restored from backups of any age, again and
// again, for fleets of different sizes, together with crashes, suspensions, network partitions, packet
// loss and changes. No entry VM may revert to an older configuration or use a server again that
// left, each acknowledged configuration has to be in force in time, and in the end all entry
// VMs have what the store has.
func TestRestoreHistory(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		vms, steps int
		seed       uint64
	}{
		"17 VMs":               {17, 30, 1},
		"17 VMs, another seed": {17, 30, 2},
		"60 VMs":               {60, 20, 3},
		"127 VMs":              {127, 12, 4},
		"472 VMs":              {472, 5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const lost = 0.02

			f := newFleetHistory(t, c.seed, c.vms)
			f.play(2 * simFormTime)

			f.loss = lost
			freshness := freshnessCheck{fleetHistory: f, maxAge: time.Second}
			f.checked = freshness.check

			for range c.steps {
				f.disturb()
				f.play(time.Duration(f.rnd.Int64N(int64(time.Second))))
			}

			f.outage(time.Second)
			f.store.configure()
			f.play(forceTime + settleTime + simFormTime)
			f.checkAgreement()
			t.Logf("%d calls, %d lists of all keys, %d eras", f.store.calls, f.store.lists, f.store.era)
		})
	}
}

// checkAgreement checks that all entry VMs have what the store has.
func (f *fleetHistory) checkAgreement() {
	want := map[carobward.Key]string{}

	for key, state := range f.store.states {
		if state != "gone" {
			want[key] = state
		}
	}

	for _, v := range f.vms {
		h := f.historyVMs[v]
		maps.DeleteFunc(h.values, func(_ carobward.Key, state string) bool { return state == "gone" })

		if !maps.Equal(want, h.values) {
			f.fail("%s has the servers %v, but they are %v", v.node.ID, h.values, want)
		}
	}
}

// TestEraListCalls brings a fleet with many servers into an era in which few keys changed, and
// checks that few entry VMs list all keys.
func TestEraListCalls(t *testing.T) {
	t.Parallel()

	const (
		vms = 127
		// maxLists is how many may list before the first answer reaches them: here all are due at
		// once, with askInterval between checks.
		maxLists = vms * int(3*simStep) / int(askInterval)
	)

	f := newFleetHistory(t, 6, vms)
	for i := range 800 {
		f.store.put(carobward.Item{Key: carobward.Key(fmt.Sprint("servers/more-", i)), Value: bytes.Repeat([]byte("x"), 300)})
	}

	f.play(2 * simFormTime)
	f.store.save()
	f.store.server(1, "draining")
	f.store.configure()
	f.play(2 * time.Second)

	before := f.store.lists
	f.outage(2 * time.Second)
	f.store.configure()
	f.play(forceTime + settleTime)

	if n := f.store.lists - before; n > maxLists {
		t.Errorf("%d of %d entry VMs listed all keys", n, vms)
	}

	if !slices.ContainsFunc(f.vms, func(v *simVM) bool { return f.historyVMs[v].version == f.store.version }) {
		t.Error("no entry VM has the configuration")
	}
}
