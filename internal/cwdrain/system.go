package cwdrain

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwwire"
)

// TickInterval is the time between two ticks of a System.
const TickInterval = 100 * time.Millisecond

// Options configures a System.
type Options struct {
	Table   *Table
	Servers *cwserver.Table
	// Peers returns the addresses where the other entry VMs accept calls.
	Peers func() []carobward.Address
	Calls cwpeer.Calls
	Clock carobward.Clock
	// Rand selects the peers to send to; nil means a random seed.
	Rand *rand.Rand
	Log  logr.Logger
}

// System keeps the server table in line with the marks, and gossips them.
type System struct {
	options Options
	gossip  *Gossip
	log     logr.Logger
	done    chan struct{}

	// mutex serializes updates of the server table.
	mutex sync.Mutex
	// appliedLevels holds the levels last applied to the server table.
	appliedLevels map[carobward.Address]cwserver.Level
}

// New returns a System.
func New(o Options) *System {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}

	return &System{options: o, gossip: NewGossip(o.Table, o.Rand), log: o.Log.WithName("leave"), done: make(chan struct{})}
}

// Done is closed once Run has returned.
func (s *System) Done() <-chan struct{} { return s.done }

// Run ticks until ctx ends.
func (s *System) Run(ctx context.Context) {
	defer close(s.done)

	t := time.NewTicker(TickInterval)
	defer t.Stop()

	for ctx.Err() == nil {
		s.Tick(func(g *Gossip) {
			g.Tick(ctx, s.options.Clock, s.options.Peers(), s.options.Calls)
		})

		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// Tick updates the server table before and after calling exchange, which
// exchanges marks with peers.
func (s *System) Tick(exchange func(*Gossip)) {
	s.Apply()
	exchange(s.gossip)
	s.Apply()
	s.extendFresh()
}

// Apply processes the announcements of servers and updates the server table by
// the marks.
func (s *System) Apply() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	o, now := &s.options, s.options.Clock.Now()
	announcements := o.Servers.Announcements()

	o.Table.ApplyAnnouncements(now, announcements)
	o.Table.Tick(now)

	if o.Table.Changed() || len(announcements) > 0 {
		levels := o.Table.Levels()
		o.Servers.SetLevels(levels, announcements)
		s.logChanges(levels)
	}
}

// extendFresh lets requests be sent to servers until the next tick is overdue, if
// the marks are fresh.
func (s *System) extendFresh() {
	if now := s.options.Clock.Now(); s.gossip.Fresh(now) {
		s.options.Servers.SetFreshUntil(now.Add(maxTickGap))
	}
}

// Drain starts or reverts a drain of a server by an operator. It takes effect on
// this entry VM at once.
func (s *System) Drain(a carobward.Address, drain bool) {
	s.options.Table.SetDrain(s.options.Clock.Now(), a, drain)
	s.Apply()
}

// Checked processes the result of a health check that was sent at the given
// time.
func (s *System) Checked(sent time.Time, a carobward.Address, c CheckResult) {
	s.options.Table.ApplyCheck(sent, s.options.Clock.Now(), a, c)
	s.Apply()
}

// Listed processes a completely read VM list. It must be called before the server
// table gets the list.
func (s *System) Listed(list []carobward.VM) { s.options.Table.ApplyList(s.options.Clock.Now(), list) }

// Marks returns all marks in order, including those that have ended.
func (s *System) Marks() []Mark { return s.options.Table.Marks() }

// logChanges logs the servers whose level has changed.
func (s *System) logChanges(levels map[carobward.Address]cwserver.Level) {
	for a, l := range levels {
		if before := s.appliedLevels[a]; l != before && l != cwserver.Stays {
			s.log.Info("A server is leaving.", "server", a, "surely", l == cwserver.Leaves)
		}
	}

	for a, before := range s.appliedLevels {
		if before != cwserver.Stays && levels[a] == cwserver.Stays {
			s.log.Info("A server gets new requests again.", "server", a)
		}
	}

	s.appliedLevels = levels
}

// Traffic returns the number of calls to peers and their bytes since the start.
func (s *System) Traffic() (calls, bytes int64) { return s.gossip.Traffic() }

// Service returns the handler for calls from peers, to be registered as "News".
func (s *System) Service() *Service { return &Service{system: s} }

// Service handles calls from peers.
type Service struct {
	system *System
}

// Exchange merges a peer's marks and replies with our marks of the buckets whose
// digests differ.
func (s *Service) Exchange(in *cwwire.News, out *cwwire.News) error {
	o := &s.system.options

	if len(in.GetMarks()) > 0 {
		o.Table.merge(o.Clock.Now(), in.GetMarks())
		s.system.Apply()
	}

	out.Fresh = o.Servers.Fresh(o.Clock.Now())
	out.Marks = o.Table.differing(in.GetDigests())

	return nil
}
