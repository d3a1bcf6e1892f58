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

// Parameters of the simulated fleet and its network.
const (
	simStep          = 5 * time.Millisecond
	simDelay         = time.Millisecond
	simSpread        = 300 * time.Millisecond
	simCheckInterval = 100 * time.Millisecond
	simDomains       = 5
	simSeeds         = 3
)

// sim is a fleet of meshes over an in-memory network with a simulated clock.
type sim struct {
	now     time.Time
	rnd     *rand.Rand
	vms     []*simVM
	byPeers map[carobward.Address]*simVM
	queue   []simPacket
	loss    float64
	cut     carobward.Domain // Partitioned from the others.
	// cutLinks are the directions between failure domains that lose all datagrams.
	cutLinks map[simLink]bool
	// jitter is the longest random delay of a datagram beyond simDelay.
	jitter  time.Duration
	packets int
	far     int
}

// simLink is one direction between two failure domains.
type simLink struct{ from, to carobward.Domain }

// simVM is one entry VM of a sim.
type simVM struct {
	sim   *sim
	node  Node
	mesh  *Mesh
	alive bool
	// clock is by how much its clock is ahead of the simulated time.
	clock time.Duration
	// pending is a suspension that its mesh has yet to be told.
	pending time.Duration
	// suspended: the VM does nothing, and datagrams to it are lost.
	suspended bool
	// stopped: the process does nothing, and datagrams to it wait in held.
	stopped bool
	held    []simPacket
	// onStart is called when it starts, if set.
	onStart func(*simVM)
	// startAt is when it starts, nextRound when its next heartbeats are due.
	startAt   time.Time
	nextRound time.Time
	nextGreet time.Time
	greets    int
	round     int
	// ownLimits and ownLeaving have what servers announced to it, learnedLimits what others passed on.
	ownLimits  []carobward.LimitAnnouncement
	ownLeaving []carobward.LeavingAnnouncement
	// learnedLeaving has the notices of leaving servers that others passed on.
	learnedLeaving map[carobward.LeavingAnnouncement]bool
	learnedLimits  map[carobward.Instance]carobward.LimitAnnouncement
}

type simPacket struct {
	at       time.Time
	from, to carobward.Address
	raw      []byte
}

// Now returns the time by the entry VM's clock.
func (v *simVM) Now() time.Time { return v.sim.now.Add(v.clock) }

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

// Close does nothing.
func (simConn) Close() error { return nil }

// newMirror returns an empty replica without a configuration, whose values have no rank.
func newMirror() *cwmirror.Mirror {
	no := func(carobward.Key) bool { return false }

	return cwmirror.New(cwmirror.Options{
		Rank:      func(carobward.Key, []byte) carobward.Rank { return carobward.Rank{} },
		Retention: func(carobward.Item) time.Duration { return time.Minute }, IsRouting: no, IsBackend: no,
	})
}

func newSim(seed uint64, count int) *sim { return newDividedSim(seed, count, simDomains) }

// newDividedSim returns a fleet that is divided evenly among a number of failure domains.
func newDividedSim(seed uint64, count, domains int) *sim {
	s := &sim{
		now: time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC), rnd: rand.New(rand.NewPCG(seed, 1)), byPeers: map[carobward.Address]*simVM{},
		cutLinks: map[simLink]bool{},
	}

	for i := range count {
		s.add(fmt.Sprintf("front-%d", i), i, domains)
	}

	s.startAll()

	return s
}

// add adds an entry VM at the address of a number, by which it also belongs to its failure domain.
func (s *sim) add(id string, number, domains int) *simVM {
	host := fmt.Sprintf("10.%d.%d.%d", number%domains, number/250, number%250)
	address := carobward.Address(host + ":7000")
	v := &simVM{sim: s, node: Node{
		ID: carobward.VMID(id), Domain: carobward.Domain(fmt.Sprintf("hall-%d", number%domains)),
		Callers: address, Peers: address, Relay: carobward.Address(host + ":7001"),
	}}

	s.vms = append(s.vms, v)
	s.byPeers[address] = v

	return v
}

// startAll makes all that are not running start within simSpread.
func (s *sim) startAll() {
	for _, v := range s.vms {
		if !v.alive {
			v.startAt = s.now.Add(time.Duration(s.rnd.Int64N(int64(simSpread))))
		}
	}
}

// stop ends an entry VM without notice to the others.
func (v *simVM) stop() { v.alive, v.startAt = false, time.Time{} }

func (v *simVM) start() {
	s := v.sim
	v.ownLimits, v.learnedLimits = nil, map[carobward.Instance]carobward.LimitAnnouncement{}
	v.ownLeaving, v.learnedLeaving = nil, map[carobward.LeavingAnnouncement]bool{}

	var seeds []carobward.Address
	for _, other := range s.vms[:min(simSeeds, len(s.vms))] {
		seeds = append(seeds, other.node.Peers)
	}

	v.mesh = New(Options{
		Table: NewTable(v.node), Mirror: newMirror(), Seeds: seeds, Key: cwpeer.Key("a key of the simulated fleet"), Clock: v, Log: logr.Discard(),
		Changed: func([]carobward.Item) {},
		Notices: func(_ time.Time, newcomer bool) carobward.Announcements {
			return carobward.Announcements{Limits: v.limitNotices(newcomer), Leaving: v.ownLeaving}
		},
		TakeNotices:       v.receiveNotices,
		PendingSuspension: func() time.Duration { return v.pending },
	}, simConn{vm: v})
	v.mesh.state.Store(uint32(Ready))
	v.alive, v.startAt = true, time.Time{}
	v.held = nil
	v.nextRound = s.now.Add(time.Duration(s.rnd.Int64N(int64(heartbeatInterval))))
	v.nextGreet = s.now.Add(greetInterval)
	v.greets = 0

	if v.onStart != nil {
		v.onStart(v)
	}

	v.mesh.greetSeeds()
}

func (s *sim) send(from *simVM, raw []byte, to carobward.Address) {
	if s.rnd.Float64() < s.loss {
		return
	}

	s.packets++
	s.enqueue(simPacket{at: s.now.Add(simDelay + s.drawJitter()), from: from.node.Peers, to: to, raw: slices.Clone(raw)})
}

// enqueue adds a datagram to those in transit, which are kept in the order of their arrival.
func (s *sim) enqueue(p simPacket) {
	at := len(s.queue)
	for at > 0 && s.queue[at-1].at.After(p.at) {
		at--
	}

	s.queue = slices.Insert(s.queue, at, p)
}

func (s *sim) drawJitter() time.Duration {
	if s.jitter == 0 {
		return 0
	}

	return time.Duration(s.rnd.Int64N(int64(s.jitter)))
}

// run advances the clock, and calls check at each step if it is set.
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
	if !v.alive && !v.startAt.IsZero() && !s.now.Before(v.startAt) {
		v.start()
	}

	if !v.alive || v.suspended || v.stopped {
		return
	}

	// After a pause, either the tick or the waiting datagrams may come first.
	if s.rnd.IntN(2) == 0 {
		v.mesh.MarkRunning(v.Now())
	}

	for _, p := range v.held {
		v.receive(p)
	}

	v.held = nil
	v.mesh.MarkRunning(v.Now())

	if !s.now.Before(v.nextGreet) {
		v.nextGreet = s.now.Add(greetInterval)
		v.greets++
		v.mesh.greetSilent(v.greets)
	}

	if !s.now.Before(v.nextRound) {
		v.nextRound = v.nextRound.Add(heartbeatInterval)
		v.round++
		v.mesh.sendRound(v.round)
	}

	select {
	case <-v.mesh.wake:
		v.mesh.sendAll()
	default:
	}
}

// deliver delivers the datagrams that are due, in the order in which they were sent.
func (s *sim) deliver() {
	for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
		p := s.queue[0]
		s.queue = s.queue[1:]
		from, to := s.byPeers[p.from], s.byPeers[p.to]
		crossDomain := from.node.Domain != to.node.Domain

		if crossDomain {
			s.far++
		}

		cut := crossDomain && (from.node.Domain == s.cut || to.node.Domain == s.cut) || s.cutLinks[simLink{from.node.Domain, to.node.Domain}]
		switch {
		case !to.alive || to.suspended || cut:
		case to.stopped:
			to.held = append(to.held, p)
		default:
			to.receive(p)
		}
	}
}

// receive hands a datagram to an entry VM.
func (v *simVM) receive(p simPacket) {
	v.mesh.handleDatagram(p.raw, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(p.from))))
}

// mismatch describes the first entry VM whose view of the fleet is wrong, or returns "".
func (s *sim) mismatch() string {
	alive := map[carobward.Domain]int{}
	all := 0

	for _, v := range s.vms {
		if !v.startAt.IsZero() {
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
			return fmt.Sprintf("%s knows %d of %d entry VMs in its own failure domain", v.node.ID, got, alive[v.node.Domain])
		}

		known := map[carobward.Domain]int{}
		for _, d := range t.Domains(s.now) {
			known[d.Domain] = d.Alive
		}

		for d, n := range alive {
			if d != v.node.Domain && known[d] != n {
				return fmt.Sprintf("%s knows %d of %d entry VMs in %s", v.node.ID, known[d], n, d)
			}
		}

		if size := t.Size(s.now); size < all {
			return fmt.Sprintf("%s divides budgets by %d, but %d entry VMs are alive", v.node.ID, size, all)
		}
	}

	return ""
}
