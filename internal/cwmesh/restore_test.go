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

// The figures of a simulated store and of who asks it.
const (
	simConfig  = carobward.Key("op/config")
	simServers = 40
	// askPace is the time between looks at whether to ask, staleAge the age of the newest
	// word at which others than the first ask, each turnAge later than the one before.
	askPace  = 100 * time.Millisecond
	staleAge = 950 * time.Millisecond
	turnAge  = 80 * time.Millisecond
	turnMost = 8
	// goneAge is for how long what was removed stays so.
	goneAge = 10 * time.Second
	// forceTime is by when an acknowledged configuration is in force.
	forceTime = 2 * time.Second
	// againTime is by when servers have written their entries again.
	againTime = 1500 * time.Millisecond
	// inTouch is for how long an entry VM has to have run and been served for the bounds to
	// hold there.
	inTouch = 3 * time.Second
)

// historyVM is what the history test notes of one entry VM.
type historyVM struct {
	*simVM

	answers *Answers
	// force has the values that are in force there.
	force map[carobward.Key]string
	// left has the servers that were leaving or gone there.
	left map[carobward.Key]bool
	// version is the highest configuration that was in force.
	version int
	asks    time.Time
	list    bool
	// calm is since when it ran and was served.
	calm      time.Time
	suspended bool
}

// fleetHistory is a simulated fleet with a store, and what each entry VM had in force.
type fleetHistory struct {
	*sim

	t     *testing.T
	store *simStore
	all   map[*simVM]*historyVM
	// checked is called at each step, where it is set.
	checked func()
	wrong   int
}

// rankOf returns the count at the end of a value.
func rankOf(_ carobward.Key, value []byte) carobward.Rank {
	_, text, _ := strings.Cut(string(value), " ")
	n, _ := strconv.ParseUint(text, 10, 64)

	return carobward.Rank{Write: n}
}

func newFleetHistory(t *testing.T, seed uint64, vms int) *fleetHistory {
	t.Helper()

	f := &fleetHistory{sim: newSim(seed, vms), t: t, all: map[*simVM]*historyVM{}}
	f.store = newSimStore(f.sim)

	for _, v := range f.vms {
		v.began = f.begin
	}

	return f
}

// begin sets up an entry VM that starts.
func (f *fleetHistory) begin(v *simVM) {
	h := &historyVM{simVM: v, force: map[carobward.Key]string{}, left: map[carobward.Key]bool{}, calm: f.now}
	f.all[v] = h
	isRouting := func(k carobward.Key) bool { return k == simConfig }

	v.mesh.Mirror = cwmirror.New(cwmirror.Options{
		Rank: rankOf, IsRouting: isRouting, IsBackend: func(k carobward.Key) bool { return !isRouting(k) },
		Retention: func(it carobward.Item) time.Duration {
			switch {
			case isRouting(it.Key):
				return carobward.Always
			case it.Gone:
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

// changed notes what comes into force at an entry VM, and wants it not to go back.
func (f *fleetHistory) changed(h *historyVM, items []carobward.Item) {
	for _, it := range items {
		state, _, _ := strings.Cut(string(it.Value), " ")
		if it.Gone {
			state = "gone"
		}

		if it.Key == simConfig {
			f.configured(h, int(rankOf(it.Key, it.Value).Write))

			continue
		}

		if h.left[it.Key] && state == "ready" && f.now.Sub(f.store.stable) < goneAge {
			f.fail("%s has %s ready again, which left", h.node.ID, it.Key)
		}

		h.left[it.Key] = h.left[it.Key] || state == "draining" || state == "gone" && f.store.states[it.Key] != "ready"
		h.force[it.Key] = state
	}
}

func (f *fleetHistory) configured(h *historyVM, version int) {
	if version < h.version {
		f.fail("%s has configuration %d after %d", h.node.ID, version, h.version)
	}

	h.version = version
}

func (f *fleetHistory) fail(format string, args ...any) {
	const most = 10

	if f.wrong++; f.wrong <= most {
		f.t.Errorf(format, args...)
	}
}

// call has a peer answer a fetch.
func (f *fleetHistory) call(h *historyVM, to carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
	peer := f.byPeers[to]
	if !peer.alive || f.all[peer].suspended || f.isCut(h.simVM, peer) {
		return errors.New("no answer")
	}

	if err := f.all[peer].answers.Changes(in, out); err != nil {
		return rpc.ServerError(err.Error())
	}

	return nil
}

func (f *fleetHistory) isCut(a, b *simVM) bool {
	return a.node.Domain != b.node.Domain && (a.node.Domain == f.cut || b.node.Domain == f.cut)
}

// isServed tells whether the store serves an entry VM.
func (f *fleetHistory) isServed(v *simVM) bool {
	return !f.store.down && v.node.Domain != f.store.turned
}

// follow has an entry VM fetch what it was offered, and ask the store where it is its turn.
func (f *fleetHistory) follow(h *historyVM, place int) {
	select {
	case o := <-h.mesh.offers:
		if h.mesh.wants(o) {
			if err := h.mesh.fetch(context.Background(), o.from, false); err != nil && isSaid(err, errGap) {
				h.mesh.setLack()
			}
		}
	default:
	}

	if f.now.Before(h.asks) {
		return
	}

	h.asks = f.now.Add(askPace)
	h.mesh.Mirror.Sweep(f.now, h.mesh.Changed)

	age := f.now.Sub(h.mesh.Fresh())
	if due := place == 0 || age > staleAge+turnAge*time.Duration(min(place, turnMost)) || h.mesh.Lacks(); !due || !f.isServed(h.simVM) {
		return
	}

	f.ask(h)
}

func (f *fleetHistory) ask(h *historyVM) {
	after := h.mesh.Mirror.State().Index

	c, err := f.store.answer(after, h.list || after == 0)
	if err == nil {
		_, err = h.mesh.TakeAnswer(c, h.mesh.Clock.Now())
	}

	h.list = errors.Is(err, carobward.ErrHistory)
	if h.list {
		h.asks = f.now
	}
}

// play lets time pass.
func (f *fleetHistory) play(d time.Duration) {
	f.run(d, func() {
		place := 0

		for _, v := range f.vms {
			h := f.all[v]
			if h == nil || !v.alive || h.suspended {
				continue
			}

			f.follow(h, place)

			if f.isServed(v) {
				place++
			} else {
				h.calm = f.now
			}
		}

		f.inForce()

		if f.checked != nil {
			f.checked()
		}
	})
}

// inForce wants an acknowledged configuration to be in force on all entry VMs that ran and
// were served.
func (f *fleetHistory) inForce() {
	since := f.now.Add(-forceTime)
	if f.store.acked.After(since) || f.store.stable.After(f.now.Add(-inTouch)) {
		return
	}

	for _, v := range f.vms {
		if h := f.all[v]; v.alive && h != nil && !h.suspended && h.calm.Before(f.now.Add(-inTouch)) && h.version < f.store.version {
			f.fail("%s has configuration %d %s after %d was acknowledged", v.node.ID, h.version, f.now.Sub(f.store.acked), f.store.version)
		}
	}
}

// disturb does one thing at random to the store, or to entry VMs.
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
		v.starts = f.now.Add(time.Duration(f.rnd.Int64N(int64(2 * time.Second))))
	case 8:
		f.suspend(v, time.Duration(f.rnd.Int64N(int64(4*time.Second))))
	case 9:
		f.cut = v.node.Domain
		f.store.turned = v.node.Domain
		f.play(time.Duration(f.rnd.Int64N(int64(4 * time.Second))))
		f.cut, f.store.turned = "", ""
	case 10:
		f.store.turned = v.node.Domain
		f.play(time.Duration(f.rnd.Int64N(int64(4 * time.Second))))
		f.store.turned = ""
	case 11:
		f.store.floor = f.store.index
	}
}

// outage takes the store away and brings it back from its copy; servers write again.
func (f *fleetHistory) outage(d time.Duration) {
	f.store.down = true
	f.play(d)
	f.store.restore()
	f.store.down = false
	f.store.stable = f.now
	f.play(time.Duration(f.rnd.Int64N(int64(againTime))))
	f.store.writeAgain()

	if !slices.ContainsFunc(f.vms, f.hasNewest) {
		// The store lost it before any entry VM had heard of it.
		f.store.put(f.store.config())
		f.store.acked = f.now
	}

	f.store.stable = f.now
}

// hasNewest tells whether an entry VM that others hear has the newest configuration.
func (f *fleetHistory) hasNewest(v *simVM) bool {
	h := f.all[v]

	return h != nil && v.alive && !v.suspended && h.version == f.store.version
}

func (f *fleetHistory) suspend(v *simVM, d time.Duration) {
	h := f.all[v]
	if h == nil || !v.alive {
		return
	}

	h.suspended, v.suspended = true, true
	f.play(d)
	h.suspended, v.suspended = false, false
	h.calm = f.now
}

// TestRestoreHistory plays a store that comes back from copies of any age to fleets of any
// size, in series and beside kills, suspensions, cuts, lost packets and changes. No entry VM
// may go back to an older configuration or use a server again that left, each acknowledged
// configuration has to be in force in time, and in the end all have what the store has.
func TestRestoreHistory(t *testing.T) {
	for name, c := range map[string]struct {
		vms, steps int
		seed       uint64
	}{
		"17":     {17, 30, 1},
		"17 too": {17, 30, 2},
		"60":     {60, 20, 3},
		"127":    {127, 12, 4},
		"472":    {472, 5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const lost = 0.02

			f := newFleetHistory(t, c.seed, c.vms)
			f.play(2 * simForms)

			f.loss = lost
			knows := knowing{fleetHistory: f, young: time.Second}
			f.checked = knows.check

			for range c.steps {
				f.disturb()
				f.play(time.Duration(f.rnd.Int64N(int64(time.Second))))
			}

			f.outage(time.Second)
			f.store.configure()
			f.play(forceTime + inTouch + simForms)
			f.agree()
			t.Logf("%d calls, %d lists of all keys, %d eras", f.store.calls, f.store.lists, f.store.era)
		})
	}
}

// agree wants all entry VMs to have what the store has.
func (f *fleetHistory) agree() {
	want := map[carobward.Key]string{}

	for key, state := range f.store.states {
		if state != "gone" {
			want[key] = state
		}
	}

	for _, v := range f.vms {
		h := f.all[v]
		maps.DeleteFunc(h.force, func(_ carobward.Key, state string) bool { return state == "gone" })

		if !maps.Equal(want, h.force) {
			f.fail("%s has %v, the servers are %v", v.node.ID, h.force, want)
		}
	}
}

// TestEntryBytes brings a fleet with many servers into an era in which few keys changed, and
// wants few entry VMs to ask for all of them.
func TestEntryBytes(t *testing.T) {
	const (
		vms = 127
		// lists is how many may ask before the first answer reaches them: all do at once
		// here, with askPace between looks.
		lists = vms * int(3*simStep) / int(askPace)
	)

	f := newFleetHistory(t, 6, vms)
	for i := range 800 {
		f.store.put(carobward.Item{Key: carobward.Key(fmt.Sprint("servers/more-", i)), Value: bytes.Repeat([]byte("x"), 300)})
	}

	f.play(2 * simForms)
	f.store.save()
	f.store.server(1, "draining")
	f.store.configure()
	f.play(2 * time.Second)

	before := f.store.lists
	f.outage(2 * time.Second)
	f.store.configure()
	f.play(forceTime + inTouch)

	if n := f.store.lists - before; n > lists {
		t.Errorf("%d of %d entry VMs listed all keys", n, vms)
	}

	if !slices.ContainsFunc(f.vms, func(v *simVM) bool { return f.all[v].version == f.store.version }) {
		t.Error("nobody has the configuration")
	}
}
