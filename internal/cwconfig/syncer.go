package cwconfig

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// The metrics by name.
const (
	metricAdopted  = "adopted"
	metricFull     = "full_copies"
	metricAlarms   = "alarms"
	metricFailed   = "exchanges_failed"
	metricSent     = "exchange_bytes_sent"
	metricReceived = "exchange_bytes_received"
)

const (
	// tickEvery is the pace at which the schedule is looked at.
	tickEvery = 100 * time.Millisecond
	// newsMost is how many peers with news may wait to be asked.
	newsMost = 8
	// watchGap is the least time between two watches, so that a burst of
	// changes is read together.
	watchGap = 100 * time.Millisecond
	// watchRetryFirst and watchRetryMost bound the pause after a failed
	// watch.
	watchRetryFirst = 500 * time.Millisecond
	watchRetryMost  = 5 * time.Second
)

// Syncer keeps the configuration in force here up to date: a few entry VMs
// watch the store, all others learn from peers.
type Syncer struct {
	reader *Reader
	holder *Holder
	peers  carobward.Peers
	calls  cwpeer.Calls
	clock  carobward.Clock
	log    logr.Logger
	// metrics counts what the syncer did.
	metrics *expvar.Map

	vitals vitals
	news   chan news
	done   chan struct{}

	polling, exchanging atomic.Bool
}

// NewSyncer returns a syncer of a holder. Register its Service with the peers'
// server before Run. It counts what it does in metrics.
func NewSyncer(store carobward.Store, holder *Holder, peers carobward.Peers, calls cwpeer.Calls, metrics *expvar.Map, clock carobward.Clock, log logr.Logger) *Syncer {
	return &Syncer{
		reader: NewReader(store),
		holder: holder,
		peers:  peers,
		calls:  calls,
		clock:  clock,
		log:    log.WithName("config"),

		metrics: metrics,

		news: make(chan news, newsMost),
		done: make(chan struct{}),
	}
}

// Done is closed once Run has returned.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// Condition returns what is known of the configuration here.
func (s *Syncer) Condition() Condition {
	return s.vitals.condition(s.holder.Config(), s.clock.Now())
}

// Run joins the fleet and keeps up with it until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.done)

	if !s.join(ctx) {
		return
	}

	var group conc.WaitGroup

	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.follow(ctx) })
	group.Go(func() { s.tick(ctx, &group) })
	group.Wait()
}

// follow asks peers that have told of a higher revision.
func (s *Syncer) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.news:
			s.askFor(ctx, n)
		}
	}
}

// tick does what the schedule says. A poll or an exchange is not begun while
// the one before it still waits.
func (s *Syncer) tick(ctx context.Context, group *conc.WaitGroup) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()

	plan := &schedule{}

	for {
		d := plan.due(s.clock.Now(), len(s.others())+1, s.holder.Revision())
		run(group, d.poll, &s.polling, func() { s.Poll(ctx) })
		run(group, d.exchange, &s.exchanging, func() { s.exchange(ctx) })

		if d.offer {
			group.Go(func() { s.offer(ctx) })
		}

		select {
		case <-ctx.Done():
			return
		case <-s.holder.raised:
		case <-t.C:
		}
	}
}

// run starts a duty if it is due and does not run already.
func run(group *conc.WaitGroup, due bool, running *atomic.Bool, duty func()) {
	if !due || !running.CompareAndSwap(false, true) {
		return
	}

	group.Go(func() {
		defer running.Store(false)

		duty()
	})
}

// Poll reads the store's head once.
func (s *Syncer) Poll(ctx context.Context) {
	sent, known := s.clock.Now(), s.holder.Config()

	found, err := s.reader.Head(ctx)
	s.saw(ctx, &found, err, known, sent)
}

// watch waits for changes of the store's head, while this entry VM is one
// that does.
func (s *Syncer) watch(ctx context.Context) {
	var next carobward.StoreIndex

	pause := watchRetryFirst

	for ctx.Err() == nil {
		if !Watches(s.peers.Self(), s.peers.All()) {
			sleep(ctx, watchRetryFirst)

			continue
		}

		known, sent := s.holder.Config(), s.clock.Now()
		found, err := s.await(ctx, next)

		if s.saw(ctx, &found, err, known, sent); err != nil {
			next = 0

			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, watchRetryMost)

			continue
		}

		pause = watchRetryFirst

		if next = found.Next; next < found.Index {
			next = found.Index
		}

		sleep(ctx, watchGap)
	}
}

// await reads the head at first and then waits for its changes.
func (s *Syncer) await(ctx context.Context, next carobward.StoreIndex) (Found, error) {
	if next == 0 {
		return s.reader.Head(ctx)
	}

	found, err := s.reader.Watch(ctx, next)
	if err == nil && found.Next < next {
		found.Next = 0 // The store was restored and counts from lower again.
	}

	return found, err
}

// saw takes what the store showed: the read was sent at a time when known was
// in force. A reply may be old, so it is compared with that only.
func (s *Syncer) saw(ctx context.Context, found *Found, err error, known *Config, sent time.Time) {
	if ctx.Err() != nil {
		return
	}

	if err == nil {
		err = s.take(ctx, found, known)
	}

	switch {
	case err == nil:
		s.vitals.clear(fromStore)
		s.vitals.freshen(sent)
	case alarming(err):
		s.alarm(fromStore, err)
	default:
		s.log.V(1).Info("The store did not answer.", "cause", err.Error())
	}
}

func (s *Syncer) take(ctx context.Context, found *Found, known *Config) error {
	if behind(&found.Head, known) {
		return errors.Annotatef(ErrOlder, "the store has revision %d, in force was %d", found.Head.Revision(), known.Revision)
	}

	rose, err := s.holder.Advance(found.Head.Changes)
	if errors.Is(err, ErrGap) {
		var config *Config

		if config, err = s.reader.Complete(ctx, &found.Head, s.holder.Config()); err == nil {
			s.metrics.Add(metricFull, 1)

			rose = s.holder.adoptWith(config, found.Head.Changes)
		}
	}

	if rose {
		s.adopted("store")
	}

	return err
}

func (s *Syncer) adopted(from string) {
	s.metrics.Add(metricAdopted, 1)
	s.log.Info("New configuration in force.", "revision", s.holder.Revision(), "from", from)
}

func (s *Syncer) alarm(from source, err error) {
	if !s.vitals.raise(from, err, s.clock.Now()) {
		return
	}

	s.metrics.Add(metricAlarms, 1)
	s.log.Error(err, "Alarm: the configuration in force is kept.", "revision", s.holder.Revision())
}

// others returns the other entry VMs that are live or only suspected.
func (s *Syncer) others() []carobward.Peer {
	self := s.peers.Self()

	var all []carobward.Peer

	for _, p := range s.peers.All() {
		if p.ID != self.ID && p.Peers != "" && (p.State == carobward.PeerLive || p.State == carobward.PeerSuspect) {
			all = append(all, p)
		}
	}

	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all
}
