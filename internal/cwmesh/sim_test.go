package cwmesh

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwpeer"
)

// The simulated fleet's network.
const (
	simStep    = 5 * time.Millisecond
	simDelay   = time.Millisecond
	simSpread  = 300 * time.Millisecond
	simLook    = 100 * time.Millisecond
	simDomains = 5
	simSeeds   = 3
)

// sim is a fleet of meshes over a network in memory with a clock of its own.
type sim struct {
	now     time.Time
	rnd     *rand.Rand
	vms     []*simVM
	byPeers map[carobward.Address]*simVM
	queue   []simPacket
	loss    float64
	cut     carobward.Domain // Nothing passes between it and the others.
	packets int
	far     int
}

// simVM is one entry VM of a sim.
type simVM struct {
	sim   *sim
	node  Node
	mesh  *Mesh
	alive bool
	// suspended lets it do nothing, and what is sent to it is lost.
	suspended bool
	// stopped lets it do nothing, and what is sent to it waits.
	stopped bool
	held    []simPacket
	// began is called as it starts, where it is set.
	began func(*simVM)
	// starts is when it starts, next when its next heartbeats are due.
	starts time.Time
	next   time.Time
	meets  time.Time
	met    int
	round  int
	// says is what servers said to it lately, told what it knows from others.
	says   []carobward.LimitWord
	leaves []carobward.LeavingWord
	// left is what others told of servers that leave.
	left map[carobward.LeavingWord]bool
	told map[carobward.Instance]carobward.LimitWord
}

type simPacket struct {
	at       time.Time
	from, to carobward.Address
	raw      []byte
}

// Now is the clock of all meshes.
func (s *sim) Now() time.Time { return s.now }

// simConn is the socket of one entry VM.
type simConn struct {
	net.PacketConn

	vm *simVM
}

// WriteTo sends a datagram into the simulated network.
func (c simConn) WriteTo(raw []byte, to net.Addr) (int, error) {
	c.vm.sim.send(c.vm, raw, carobward.Address(to.String()))

	return len(raw), nil
}

// Close has nothing to close.
func (simConn) Close() error { return nil }

// newMirror returns an empty copy without a configuration, and with values that have no rank.
func newMirror() *cwmirror.Mirror {
	no := func(carobward.Key) bool { return false }

	return cwmirror.New(cwmirror.Options{
		Rank:      func(carobward.Key, []byte) carobward.Rank { return carobward.Rank{} },
		Retention: func(carobward.Item) time.Duration { return time.Minute }, IsRouting: no, IsBackend: no,
	})
}

func newSim(seed uint64, count int) *sim {
	s := &sim{now: time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 1)), byPeers: map[carobward.Address]*simVM{}}

	for i := range count {
		address := carobward.Address(fmt.Sprintf("10.%d.%d.%d:7000", i%simDomains, i/250, i%250))
		s.vms = append(s.vms, &simVM{sim: s, node: Node{
			ID: carobward.VMID(fmt.Sprintf("front-%d", i)), Domain: carobward.Domain(fmt.Sprintf("hall-%d", i%simDomains)),
			Callers: address, Peers: address,
		}})
		s.byPeers[address] = s.vms[i]
	}

	s.startAll()

	return s
}

// startAll lets all that do not run start within simSpread.
func (s *sim) startAll() {
	for _, v := range s.vms {
		if !v.alive {
			v.starts = s.now.Add(time.Duration(s.rnd.Int64N(int64(simSpread))))
		}
	}
}

// stop ends an entry VM without a word.
func (v *simVM) stop() { v.alive, v.starts = false, time.Time{} }

func (v *simVM) start() {
	s := v.sim
	v.says, v.told = nil, map[carobward.Instance]carobward.LimitWord{}
	v.leaves, v.left = nil, map[carobward.LeavingWord]bool{}

	var seeds []carobward.Address
	for _, other := range s.vms[:simSeeds] {
		seeds = append(seeds, other.node.Peers)
	}

	v.mesh = New(Options{
		Table: NewTable(v.node), Mirror: newMirror(), Seeds: seeds, Key: cwpeer.Key("a key of the simulated fleet"), Clock: s, Log: logr.Discard(),
		Changed: func([]carobward.Item) {},
		Words: func(_ time.Time, newcomer bool) carobward.ServerWords {
			return carobward.ServerWords{Limits: v.limits(newcomer), Leaving: v.leaves}
		},
		TakeWords: v.takeWords,
	}, simConn{vm: v})
	v.mesh.state.Store(uint32(Ready))
	v.alive, v.starts = true, time.Time{}
	v.held = nil
	v.next = s.now.Add(time.Duration(s.rnd.Int64N(int64(beatTime))))
	v.meets = s.now.Add(meetTime)
	v.met = 0

	if v.began != nil {
		v.began(v)
	}

	v.mesh.tellSeeds()
}

func (s *sim) send(from *simVM, raw []byte, to carobward.Address) {
	if s.rnd.Float64() < s.loss {
		return
	}

	s.packets++
	s.queue = append(s.queue, simPacket{at: s.now.Add(simDelay), from: from.node.Peers, to: to, raw: slices.Clone(raw)})
}

// run lets time pass.
func (s *sim) run(d time.Duration, check func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)

		for _, v := range s.vms {
			v.tick()
		}

		s.deliver()

		if check != nil {
			check()
		}
	}
}

func (v *simVM) tick() {
	s := v.sim
	if !v.alive && !v.starts.IsZero() && !s.now.Before(v.starts) {
		v.start()
	}

	if !v.alive || v.suspended || v.stopped {
		return
	}

	// Either may come first once the process runs again.
	if s.rnd.IntN(2) == 0 {
		v.mesh.Running(s.now)
	}

	for _, p := range v.held {
		v.take(p)
	}

	v.held = nil
	v.mesh.Running(s.now)

	if !s.now.Before(v.meets) {
		v.meets = s.now.Add(meetTime)
		v.met++
		v.mesh.meet(v.met)
	}

	if !s.now.Before(v.next) {
		v.next = v.next.Add(beatTime)
		v.round++
		v.mesh.turn(v.round)
	}

	select {
	case <-v.mesh.wake:
		v.mesh.tellAll()
	default:
	}
}

// deliver hands out what has arrived, in the order in which it was sent.
func (s *sim) deliver() {
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		p := s.queue[0]
		s.queue = s.queue[1:]
		from, to := s.byPeers[p.from], s.byPeers[p.to]
		apart := from.node.Domain != to.node.Domain

		if apart {
			s.far++
		}

		cut := apart && (from.node.Domain == s.cut || to.node.Domain == s.cut)
		switch {
		case !to.alive || to.suspended || cut:
		case to.stopped:
			to.held = append(to.held, p)
		default:
			to.take(p)
		}
	}
}

// take hands a datagram to an entry VM.
func (v *simVM) take(p simPacket) {
	v.mesh.datagram(p.raw, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(p.from))))
}

// wrong describes the first entry VM that does not know the fleet as it is.
func (s *sim) wrong() string {
	alive := map[carobward.Domain]int{}
	all := 0

	for _, v := range s.vms {
		if !v.starts.IsZero() {
			return fmt.Sprintf("%s has yet to start", v.node.ID)
		}

		if v.alive {
			alive[v.node.Domain]++
			all++
		}
	}

	for _, v := range s.vms {
		if !v.alive {
			continue
		}

		t := v.mesh.Table
		if got := 1 + len(t.Live(s.now)); got != alive[v.node.Domain] {
			return fmt.Sprintf("%s knows %d of %d in its own failure domain", v.node.ID, got, alive[v.node.Domain])
		}

		known := map[carobward.Domain]int{}
		for _, d := range t.Domains(s.now) {
			known[d.Domain] = d.Alive
		}

		for d, n := range alive {
			if d != v.node.Domain && known[d] != n {
				return fmt.Sprintf("%s knows %d of %d in %s", v.node.ID, known[d], n, d)
			}
		}

		if size := t.Size(s.now); size < all {
			return fmt.Sprintf("%s shares budgets by %d, %d live", v.node.ID, size, all)
		}
	}

	return ""
}
