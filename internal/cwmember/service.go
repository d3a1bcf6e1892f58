package cwmember

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwwire"
)

// Times and limits of the service.
const (
	tickInterval = 50 * time.Millisecond
	// maxJoinPeers is the number of entry VMs that a starting one queries.
	maxJoinPeers = 3
	// joinTimeout limits these queries.
	joinTimeout = time.Second
	// maxDatagramBytes is larger than any datagram of the protocol.
	maxDatagramBytes = 4096
)

// Service runs a Machine over a socket and keeps the table of peers up to date.
type Service struct {
	key     cwpeer.Key
	conn    net.PacketConn
	table   *cwpeer.Table
	clients *cwpeer.Clients
	clock   carobward.Clock
	log     logr.Logger

	// metrics has the counters; bytes are without UDP and IP headers.
	metrics *expvar.Map

	mutex    sync.Mutex
	machine  *Machine
	counts   Counts
	pulling  bool
	replaced chan struct{}
	done     chan struct{}
}

// NewService returns a service for the entry VM that is the table's self. The
// caller closes conn after Run has returned.
func NewService(key cwpeer.Key, conn net.PacketConn, table *cwpeer.Table, clients *cwpeer.Clients, metrics *expvar.Map, clock carobward.Clock, log logr.Logger) *Service {
	return &Service{
		key: key, conn: conn, table: table, clients: clients, metrics: metrics, clock: clock, log: log.WithName("member"),
		machine:  New(table.Self(), Defaults(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		replaced: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Done is closed once Run has returned.
func (s *Service) Done() <-chan struct{} { return s.done }

// Replaced is closed once a later run of this VM is known.
func (s *Service) Replaced() <-chan struct{} { return s.replaced }

// SetVMList sets the entry VMs of a VM list as seeds.
func (s *Service) SetVMList(list []carobward.VM) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.machine.SetSeeds(seeds(list, s.table.Self().ID))
}

func seeds(list []carobward.VM, exclude carobward.VMID) []Seed {
	var all []Seed

	for _, v := range list {
		if v.Service == carobward.EntryService && v.ID != "" && v.ID != exclude {
			all = append(all, Seed{ID: v.ID, Address: v.Address})
		}
	}

	return all
}

// Join fetches all members from some entry VMs of the list, before this VM is
// known to any of them. If they know a higher incarnation of this VM, it moves
// above that one.
func (s *Service) Join(ctx context.Context, list []carobward.VM) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()

	all := seeds(list, s.table.Self().ID)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	var (
		group    conc.WaitGroup
		answered atomic.Bool
	)

	for _, p := range all[:min(len(all), maxJoinPeers)] {
		group.Go(func() {
			if s.fetchMembers(ctx, p.Address) {
				answered.Store(true)
			}
		})
	}

	group.Wait()

	if answered.Load() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		s.machine.Join()
	}
}

// fetchMembers fetches the members from a peer and merges them. It reports
// whether the peer replied.
func (s *Service) fetchMembers(ctx context.Context, to carobward.Address) bool {
	out := &cwwire.Members{}
	if err := s.clients.Call(ctx, to, "Member.Ask", &cwwire.Ask{Id: string(s.table.Self().ID)}, out); err != nil {
		s.log.Info("The members could not be fetched from a peer.", "peer", to, "cause", err.Error())

		return false
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.machine.Merge(s.clock.Now(), out)
	s.publish()

	return true
}

// RPC has the methods that peers call.
type RPC struct{ service *Service }

// RPC returns the methods to register as "Member".
func (s *Service) RPC() *RPC { return &RPC{s} }

// Ask returns all members that are not dead.
func (a *RPC) Ask(in *cwwire.Ask, out *cwwire.Members) error {
	a.service.mutex.Lock()
	defer a.service.mutex.Unlock()

	answer := a.service.machine.MembersFor(in)
	out.Members, out.Incarnation = answer.GetMembers(), answer.GetIncarnation()

	return nil
}

// Run takes part in the protocol until ctx is done, then announces that this VM
// has stopped.
func (s *Service) Run(ctx context.Context) {
	defer close(s.done)

	var group conc.WaitGroup

	group.Go(s.receive)
	s.tick(ctx, &group)

	s.mutex.Lock()
	last := s.machine.Stop()
	s.mutex.Unlock()
	s.send(last)

	_ = s.conn.SetReadDeadline(time.Unix(1, 0)) // This makes receive return.

	group.Wait()
}

func (s *Service) tick(ctx context.Context, group *conc.WaitGroup) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for {
		s.mutex.Lock()
		s.machine.SetRevision(s.table.Self().Revision)
		out := s.machine.Tick(s.clock.Now())
		s.publish()
		to, pull := s.machine.TakePull()
		pull = pull && !s.pulling
		s.pulling = s.pulling || pull
		s.mutex.Unlock()

		s.send(out)

		if pull {
			group.Go(func() { s.pull(ctx, to) })
		}

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Service) pull(ctx context.Context, to carobward.Address) {
	s.metrics.Add("pulls", 1)
	_ = s.fetchMembers(ctx, to)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.pulling = false
}

func (s *Service) receive() {
	buffer := make([]byte, maxDatagramBytes)

	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			var timeout net.Error
			if errors.Is(err, net.ErrClosed) || (errors.As(err, &timeout) && timeout.Timeout()) {
				return
			}

			s.log.Error(err, "A datagram could not be read.")
			<-time.After(tickInterval)

			continue
		}

		s.metrics.Add("bytes_in", int64(n))

		raw, err := s.key.Open(buffer[:n], from)
		if err != nil {
			s.metrics.Add("refused", 1)

			continue
		}

		d := &cwwire.Datagram{}
		if err := proto.Unmarshal(raw, d); err != nil {
			s.metrics.Add("refused", 1)

			continue
		}

		s.mutex.Lock()
		out := s.machine.Receive(s.clock.Now(), carobward.Address(from.String()), d)
		// The table is updated before the ACK is sent: a leaving VM relies on an
		// ACK to mean that our lookup replies leave it out already.
		s.publish()
		s.mutex.Unlock()

		s.send(out)
	}
}

func (s *Service) send(all []Message) {
	for _, m := range all {
		raw, err := proto.Marshal(m.Datagram)
		if err != nil {
			s.log.Error(err, "A datagram could not be encoded.")

			continue
		}

		to, err := netip.ParseAddrPort(string(m.To))
		if err != nil {
			continue
		}

		sealed := s.key.Seal(raw)
		s.metrics.Add("bytes_out", int64(len(sealed)))

		// The protocol tolerates lost datagrams, so an error is ignored.
		_, _ = s.conn.WriteTo(sealed, net.UDPAddrFromAddrPort(to))
	}
}

// publish updates the table of peers and the metrics. The caller holds the
// mutex.
func (s *Service) publish() {
	if !s.machine.Dirty() {
		return
	}

	s.table.SetSelf(s.machine.Self())
	s.table.Replace(s.machine.Peers())

	now, before := s.machine.Counts(), s.counts
	s.counts = now

	s.metrics.Add("suspicions", int64(now.Suspicions-before.Suspicions))
	s.metrics.Add("deaths", int64(now.Deaths-before.Deaths))
	s.metrics.Add("refutations", int64(now.Refutations-before.Refutations))
	s.metrics.Add("pauses", int64(now.Pauses-before.Pauses))

	if now.Deaths > before.Deaths {
		s.log.Info("Entry VMs are taken for dead.", "count", now.Deaths-before.Deaths)
	}

	if s.machine.Replaced() {
		s.signalReplaced()
	}
}

func (s *Service) signalReplaced() {
	select {
	case <-s.replaced:
	default:
		s.log.Info("A later run of this VM has taken its place.")
		close(s.replaced)
	}
}

// Leave announces to all members that this VM is leaving. It returns once each
// has confirmed it or ctx is done, with the number of members that have not.
func (s *Service) Leave(ctx context.Context) int {
	s.mutex.Lock()
	s.machine.Leave()
	s.publish()
	s.mutex.Unlock()

	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for {
		s.mutex.Lock()
		missing := s.machine.Unconfirmed()
		s.mutex.Unlock()

		if missing == 0 {
			return 0
		}

		select {
		case <-ctx.Done():
			return missing
		case <-t.C:
		}
	}
}
