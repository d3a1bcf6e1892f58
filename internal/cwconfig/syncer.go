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

// The names of the metrics.
const (
	metricAdopted  = "adopted"
	metricFull     = "full_copies"
	metricAlarms   = "alarms"
	metricFailed   = "exchanges_failed"
	metricSent     = "exchange_bytes_sent"
	metricReceived = "exchange_bytes_received"
)

const (
	// tickInterval is the time between two checks of the schedule.
	tickInterval = 100 * time.Millisecond
	// maxAnnouncements is the length of the queue of peers that announced a
	// higher revision.
	maxAnnouncements = 8
	// minWatchInterval is the minimum time between two watches, so that a
	// burst of changes is read at once.
	minWatchInterval = 100 * time.Millisecond
	// minWatchRetry and maxWatchRetry limit the exponential backoff after a
	// failed watch.
	minWatchRetry = 500 * time.Millisecond
	maxWatchRetry = 5 * time.Second
)

// Syncer keeps the effective configuration of this entry VM up to date. A few
// entry VMs watch the store; the others get changes from their peers.
type Syncer struct {
	reader  *Reader
	holder  *Holder
	peers   carobward.Peers
	calls   cwpeer.Calls
	clock   carobward.Clock
	log     logr.Logger
	metrics *expvar.Map

	state         conditionState
	announcements chan announcement
	done          chan struct{}

	polling, exchanging atomic.Bool
}

// NewSyncer returns a Syncer that updates holder. Its Service must be registered
// with the peer server before Run is called. Counters go to metrics.
func NewSyncer(store carobward.Store, holder *Holder, peers carobward.Peers, calls cwpeer.Calls, metrics *expvar.Map, clock carobward.Clock, log logr.Logger) *Syncer {
	return &Syncer{
		reader: NewReader(store),
		holder: holder,
		peers:  peers,
		calls:  calls,
		clock:  clock,
		log:    log.WithName("config"),

		metrics: metrics,

		announcements: make(chan announcement, maxAnnouncements),
		done:          make(chan struct{}),
	}
}

// Done is closed once Run has returned.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// Condition returns the state of the configuration on this entry VM.
func (s *Syncer) Condition() Condition {
	return s.state.condition(s.holder.Config(), s.clock.Now())
}

// Run joins the fleet and keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.done)

	if !s.join(ctx) {
		return
	}

	var group conc.WaitGroup

	group.Go(func() { s.watch(ctx) })
	group.Go(func() { s.followAnnouncements(ctx) })
	group.Go(func() { s.tick(ctx, &group) })
	group.Wait()
}

// followAnnouncements exchanges with peers that announced a higher revision.
func (s *Syncer) followAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.announcements:
			s.fetchAnnounced(ctx, n)
		}
	}
}

// tick starts tasks according to the schedule. A poll or an exchange is skipped
// while the previous one is still running.
func (s *Syncer) tick(ctx context.Context, group *conc.WaitGroup) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	sched := &schedule{}

	for {
		d := sched.due(s.clock.Now(), len(s.others())+1, s.holder.Revision())
		startTask(group, d.poll, &s.polling, func() { s.Poll(ctx) })
		startTask(group, d.exchange, &s.exchanging, func() { s.exchange(ctx) })

		if d.offer {
			group.Go(func() { s.offer(ctx) })
		}

		select {
		case <-ctx.Done():
			return
		case <-s.holder.advanced:
		case <-t.C:
		}
	}
}

// startTask starts a task if it is due and not running already.
func startTask(group *conc.WaitGroup, due bool, running *atomic.Bool, task func()) {
	if !due || !running.CompareAndSwap(false, true) {
		return
	}

	group.Go(func() {
		defer running.Store(false)

		task()
	})
}

// Poll reads the store's head once.
func (s *Syncer) Poll(ctx context.Context) {
	sent, known := s.clock.Now(), s.holder.Config()

	found, err := s.reader.Head(ctx)
	s.handleRead(ctx, &found, err, known, sent)
}

// watch waits for changes of the store's head while this entry VM is one of the
// watchers.
func (s *Syncer) watch(ctx context.Context) {
	var next carobward.StoreIndex

	delay := minWatchRetry

	for ctx.Err() == nil {
		if !IsWatcher(s.peers.Self(), s.peers.All()) {
			sleep(ctx, minWatchRetry)

			continue
		}

		known, sent := s.holder.Config(), s.clock.Now()
		found, err := s.readOrWatch(ctx, next)

		if s.handleRead(ctx, &found, err, known, sent); err != nil {
			next = 0

			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxWatchRetry)

			continue
		}

		delay = minWatchRetry

		if next = found.Next; next < found.Index {
			next = found.Index
		}

		sleep(ctx, minWatchInterval)
	}
}

// readOrWatch reads the head if next is zero, and otherwise waits until it
// changes.
func (s *Syncer) readOrWatch(ctx context.Context, next carobward.StoreIndex) (StoreState, error) {
	if next == 0 {
		return s.reader.Head(ctx)
	}

	found, err := s.reader.Watch(ctx, next)
	if err == nil && found.Next < next {
		found.Next = 0 // The store was restored; its index starts lower.
	}

	return found, err
}

// handleRead processes a read of the store that was sent at the given time, when
// known was the effective configuration. Since the reply may be old, it is
// compared with known only, not with what took effect in the meantime.
func (s *Syncer) handleRead(ctx context.Context, found *StoreState, err error, known *Config, sent time.Time) {
	if ctx.Err() != nil {
		return
	}

	if err == nil {
		err = s.advance(ctx, found, known)
	}

	switch {
	case err == nil:
		s.state.clearAlarm(fromStore)
		s.state.updateFresh(sent)
	case needsOperator(err):
		s.alarm(fromStore, err)
	default:
		s.log.V(1).Info("Reading the configuration from the store failed.", "cause", err.Error())
	}
}

// advance applies the changes of the head, or the full configuration if changes
// are missing. It returns ErrStoreOutdated if the head does not continue from
// known.
func (s *Syncer) advance(ctx context.Context, found *StoreState, known *Config) error {
	if isBehind(&found.Head, known) {
		return errors.Annotatef(ErrStoreOutdated, "the store has revision %d, in force was %d", found.Head.Revision(), known.Revision)
	}

	advanced, err := s.holder.Advance(found.Head.Changes)
	if errors.Is(err, ErrGap) {
		var config *Config

		if config, err = s.reader.Complete(ctx, &found.Head, s.holder.Config()); err == nil {
			s.metrics.Add(metricFull, 1)

			advanced = s.holder.adoptWith(config, found.Head.Changes)
		}
	}

	if advanced {
		s.recordAdopted("store")
	}

	return err
}

// recordAdopted counts and logs that a new revision has taken effect.
func (s *Syncer) recordAdopted(from string) {
	s.metrics.Add(metricAdopted, 1)
	s.log.Info("New configuration in force.", "revision", s.holder.Revision(), "from", from)
}

func (s *Syncer) alarm(from alarmSource, err error) {
	if !s.state.raiseAlarm(from, err, s.clock.Now()) {
		return
	}

	s.metrics.Add(metricAlarms, 1)
	s.log.Error(err, "Alarm: the configuration in force is kept.", "revision", s.holder.Revision())
}

// others returns the other entry VMs that are live or suspect, in random
// order.
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
