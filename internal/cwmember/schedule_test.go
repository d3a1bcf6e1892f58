package cwmember_test

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwwire"
)

// TestMain bounds the generated cases; -rapid.checks asks for more.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}

	flag.Parse()
	m.Run()
}

// seen is what a viewer has seen of a VM, which must not go back.
type seen struct {
	incarnation carobward.Incarnation
	left        bool
}

// history checks views while a schedule runs.
type history struct {
	n    *network
	last map[[2]carobward.VMID]seen
	bad  string
}

func (h *history) look() {
	for i, v := range h.n.vms {
		if v.down {
			continue
		}

		for _, p := range v.actor.Peers() {
			h.check(id(i), v.actor.(*cwmember.Machine).Self().Incarnation, p)
		}
	}
}

func (h *history) check(viewer carobward.VMID, _ carobward.Incarnation, p carobward.Peer) {
	k := [2]carobward.VMID{viewer, p.ID}
	before, now := h.last[k], seen{incarnation: p.Incarnation}

	if p.Incarnation < before.incarnation {
		h.bad = "an incarnation went back"
	}

	left := before.left && p.Incarnation == before.incarnation
	if left && (p.State == carobward.PeerLive || p.State == carobward.PeerSuspect) {
		h.bad = "a leaving word was undone"
	}

	now.left = left || p.State == carobward.PeerLeaving
	h.last[k] = now
}

// restart replaces the VM at a place by a new run.
func (h *history) restart(i int) {
	for k := range h.last {
		if k[0] == id(i) {
			delete(h.last, k) // The new run starts to look afresh.
		}
	}

	h.n.vms[i] = &vm{actor: machine(i, h.n)}
}

// TestSchedules drives fleets through generated faults and checks what must
// always hold, and that a calm network mends everything.
func TestSchedules(t *testing.T) {
	const size, settle, calm = 6, 10 * time.Second, 40 * time.Second

	rapid.Check(t, func(r *rapid.T) {
		n := newNetwork(size, rapid.Uint64().Draw(r, "seed"), machine)
		h := &history{n: n, last: map[[2]carobward.VMID]seen{}}
		n.run(settle, nil)

		for range rapid.IntRange(1, 8).Draw(r, "events") {
			i := rapid.IntRange(0, size-1).Draw(r, "vm")
			v := n.vms[i]

			switch rapid.SampledFrom([]string{"kill", "restart", "leave", "freeze", "cut", "loss", "rest"}).Draw(r, "event") {
			case "kill":
				v.down = true
			case "restart":
				h.restart(i)
			case "leave":
				v.actor.(*cwmember.Machine).Leave()
			case "freeze":
				v.frozen = !v.frozen
			case "cut":
				j := rapid.IntRange(0, size-1).Draw(r, "from")
				n.cut = func(from, to int) bool { return to == i && from <= j }
			case "loss":
				n.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
			}

			n.run(time.Duration(rapid.IntRange(0, 15).Draw(r, "seconds"))*time.Second, h.look)
		}

		n.loss, n.cut = 0, func(int, int) bool { return false }
		for _, v := range n.vms {
			v.frozen = false
		}

		n.run(calm, h.look)

		if h.bad != "" {
			r.Fatal(h.bad)
		}

		mended(r, n)
	})
}

// mended checks that each VM that runs sees the others as they are.
func mended(r *rapid.T, n *network) {
	for i, v := range n.vms {
		for j, w := range n.vms {
			if i == j || v.down || w.down {
				continue
			}

			want := w.actor.(*cwmember.Machine).Self()

			got, _ := n.state(i, j)
			if got.State != want.State || got.Incarnation != want.Incarnation {
				r.Fatalf("vm %d sees vm %d as %v at %d, it is %v at %d", i, j, got.State, got.Incarnation, want.State, want.Incarnation)
			}
		}
	}
}

// TestOrder gives the same words to two VMs, to one of them in another order
// and some twice: both must end with the same view.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) *cwwire.Member {
			i := rapid.IntRange(1, 3).Draw(r, "vm")
			p := self(i, 1)

			return &cwwire.Member{
				Id:          string(p.ID),
				Incarnation: uint64(rapid.IntRange(1, 3).Draw(r, "incarnation")),
				Rank:        uint32(rapid.IntRange(0, 1).Draw(r, "rank")),
				Sequence:    uint32(rapid.IntRange(0, 3).Draw(r, "sequence")),
				Suspect:     rapid.Bool().Draw(r, "suspect"),
				About:       &cwwire.About{Callers: string(p.Callers), Lookup: string(p.Lookup), Peers: string(p.Peers), Operators: string(p.Operators)},
			}
		}), 1, 20).Draw(r, "words")
		again := rapid.Permutation(append(words, words[:len(words)/2]...)).Draw(r, "again")

		if diff := cmp.Diff(viewOf(words), viewOf(again)); diff != "" {
			r.Fatal(diff)
		}
	})
}

func viewOf(words []*cwwire.Member) map[carobward.VMID]carobward.Peer {
	n := newNetwork(1, 1, machine)
	m := n.vms[0].actor.(*cwmember.Machine)

	for _, w := range words {
		m.Merge(n.now, &cwwire.Members{Members: []*cwwire.Member{w}})
	}

	view := map[carobward.VMID]carobward.Peer{}
	for _, p := range m.Peers() {
		view[p.ID] = p
	}

	return view
}

// FuzzReceive feeds a machine with any datagram that parses.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &cwwire.Datagram{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}

		n := newNetwork(1, 1, machine)
		m := n.vms[0].actor.(*cwmember.Machine)
		m.Receive(n.now, "10.0.0.9:1", d)
		m.Tick(n.now)

		for _, p := range m.Peers() {
			if p.ID == id(0) || p.Peers == "" {
				t.Errorf("took in %+v", p)
			}
		}
	})
}
