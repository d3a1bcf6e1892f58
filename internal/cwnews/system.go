package cwnews

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

// TickEvery is the pace of the spread.
const TickEvery = 100 * time.Millisecond

// Options are what a System works with.
type Options struct {
	Table   *Table
	Servers *cwserver.Table
	// Peers returns where the other entry VMs take peers' calls.
	Peers func() []carobward.Address
	Calls cwpeer.Calls
	Clock carobward.Clock
	// Rand draws the peers that are told; nil is one with a random seed.
	Rand *rand.Rand
	Log  logr.Logger
}

// System keeps the server table by the marks, and spreads them.
type System struct {
	options Options
	spread  *Spread
	log     logr.Logger
	done    chan struct{}

	// mutex orders the levels that the server table gets.
	mutex sync.Mutex
	known map[carobward.Address]cwserver.Level
}

// New returns a System.
func New(o Options) *System {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}

	return &System{options: o, spread: NewSpread(o.Table, o.Rand), log: o.Log.WithName("leave"), done: make(chan struct{})}
}

// Done is closed once Run has returned.
func (s *System) Done() <-chan struct{} { return s.done }

// Run spreads the news until ctx ends.
func (s *System) Run(ctx context.Context) {
	defer close(s.done)

	t := time.NewTicker(TickEvery)
	defer t.Stop()

	for ctx.Err() == nil {
		s.Tick(func(spread *Spread) {
			spread.Tick(ctx, s.options.Clock, s.options.Peers(), s.options.Calls)
		})

		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// Tick has the server table follow what is known before and after tell, which
// tells peers the news and hears theirs.
func (s *System) Tick(tell func(*Spread)) {
	s.Apply()
	tell(s.spread)
	s.Apply()
	s.open()
}

// Apply takes what the servers said and has the server table follow the
// marks.
func (s *System) Apply() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	o, now := &s.options, s.options.Clock.Now()
	words := o.Servers.Words()

	o.Table.Words(now, words)
	o.Table.Tick(now)

	if o.Table.Changed() || len(words) > 0 {
		levels := o.Table.Levels()
		o.Servers.SetLevels(levels, words)
		s.tell(levels)
	}
}

// open lets work be given out for as long as a tick may take to come.
func (s *System) open() {
	if now := s.options.Clock.Now(); s.spread.Fresh(now) {
		s.options.Servers.SetFresh(now.Add(pauseMost))
	}
}

// Drain takes an operator's word, or its undoing, and has it known here at
// once.
func (s *System) Drain(a carobward.Address, drain bool) {
	s.options.Table.Operator(s.options.Clock.Now(), a, drain)
	s.Apply()
}

// Checked takes the outcome of a health check that was sent at some time.
func (s *System) Checked(sent time.Time, a carobward.Address, c Check) {
	s.options.Table.Checked(sent, s.options.Clock.Now(), a, c)
	s.Apply()
}

// Listed takes a VM list that was read whole, before the server table does.
func (s *System) Listed(list []carobward.VM) { s.options.Table.Listed(s.options.Clock.Now(), list) }

// Marks returns all marks in order, those that have ended too.
func (s *System) Marks() []Mark { return s.options.Table.Marks() }

// tell logs what has changed.
func (s *System) tell(levels map[carobward.Address]cwserver.Level) {
	for a, l := range levels {
		if before := s.known[a]; l != before && l != cwserver.Stays {
			s.log.Info("A server leaves.", "server", a, "surely", l == cwserver.Leaves)
		}
	}

	for a, before := range s.known {
		if before != cwserver.Stays && levels[a] == cwserver.Stays {
			s.log.Info("A server gets work again.", "server", a)
		}
	}

	s.known = levels
}

// Spent returns the calls to peers and their bytes since the start.
func (s *System) Spent() (calls, bytes int64) { return s.spread.Spent() }

// Service returns what peers may call, to be registered as News.
func (s *System) Service() *Service { return &Service{system: s} }

// Service is what peers may call.
type Service struct {
	system *System
}

// Exchange takes a peer's marks and answers with ours where its digests
// differ.
func (s *Service) Exchange(in *cwwire.News, out *cwwire.News) error {
	o := &s.system.options

	if len(in.GetMarks()) > 0 {
		o.Table.take(o.Clock.Now(), in.GetMarks())
		s.system.Apply()
	}

	out.Fresh = o.Servers.Fresh(o.Clock.Now())
	out.Marks = o.Table.differing(in.GetDigests())

	return nil
}
