// Package cwowner runs work at most once. This entry VM owns the tickets that
// it issued; a request with another's ticket is passed to its owner over
// net/rpc, and a leaving owner hands what became of its tickets over to
// another entry VM.
package cwowner

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwticket"
)

// Work does the work of one request. Its error is a Failure.
type Work func(ctx context.Context) (*cwticket.Outcome, error)

// Runner does the work of requests that other entry VMs pass on.
type Runner interface {
	// RunOnce matches a call to its target and carries it to a server. It
	// sends it again only after it has been proved not run.
	RunOnce(ctx context.Context, id carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error)
}

// The reasons of a failure.
const (
	ErrOwner  = errors.ConstError("owner: the entry VM that owns the ticket is gone or not known")
	ErrSilent = errors.ConstError("owner: the entry VM that owns the ticket does not answer")
	ErrTime   = errors.ConstError("owner: the request's time was over before its outcome was known")
	ErrEarly  = errors.ConstError("owner: an earlier request with this ticket may have run")
)

// retryAfter is when to come back if nothing better is known.
const retryAfter = 500 * time.Millisecond

// Owner keeps the tickets of this entry VM, and those of the owners that it
// stands in for.
type Owner struct {
	peers carobward.Peers
	calls cwpeer.Calls
	clock carobward.Clock
	log   logr.Logger
	pace  Pace

	self   cwticket.Owner
	secret cwticket.Secret
	budget *cwticket.Budget
	limits cwticket.Options
	own    *cwticket.Table

	mutex     sync.Mutex
	closedAt  time.Duration
	handovers map[cwticket.Owner]*handover
	moved     map[cwticket.Owner]*successor
	silent    map[carobward.Address]time.Time
	telling   bool
	told      time.Time

	stop  context.CancelFunc
	work  context.Context //nolint:containedctx // It ends what runs in the background.
	group conc.WaitGroup
	done  chan struct{}
}

// New returns the owner of this entry VM's tickets, under a key of its own.
func New(limits cwticket.Options, peers carobward.Peers, calls cwpeer.Calls, clock carobward.Clock, log logr.Logger) (*Owner, error) {
	self := peers.Self()
	o := &Owner{
		peers:     peers,
		calls:     calls,
		clock:     clock,
		log:       log.WithName("owner"),
		pace:      UsualPace(),
		self:      cwticket.Owner{VM: self.ID, Incarnation: self.Incarnation},
		budget:    cwticket.NewBudget(limits),
		limits:    limits,
		handovers: map[cwticket.Owner]*handover{},
		moved:     map[cwticket.Owner]*successor{},
		silent:    map[carobward.Address]time.Time{},
		done:      make(chan struct{}),
	}

	if _, err := rand.Read(o.secret[:]); err != nil {
		return nil, errors.Annotate(err, "owner")
	}

	o.work, o.stop = context.WithCancel(context.Background())
	o.own = cwticket.NewTable(cwticket.NewIssuer(o.self, o.secret, 0, clock.Now()), o.budget)

	return o, nil
}

// Done is closed once Stop has returned.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Prefix returns a new ticket prefix for a caller.
func (o *Owner) Prefix() string { return o.own.Issuer().Prefix(o.clock.Now()) }

// Used returns how many tickets are kept, and the bytes of their answers.
func (o *Owner) Used() (records, closed int, bytes carobward.ByteCount) { return o.budget.Used() }

// Do does the work of a request at most once. text is the ticket that came
// with it, or empty. It returns the answer or a Failure, and the ticket for
// the caller's next try.
func (o *Owner) Do(ctx context.Context, text string, id carobward.RequestID, c *carobward.Call, work Work) (*cwticket.Outcome, string, error) {
	if text == "" {
		t := o.own.Issuer().Ticket(o.clock.Now())
		answer, err := o.claim(ctx, o.own, t, c, true, work)

		return answer, t.String(), err
	}

	t, err := cwticket.Parse(text)
	if err != nil {
		return nil, text, malformed(err)
	}

	var answer *cwticket.Outcome

	if table := o.table(t.Owner); table != nil {
		answer, err = o.claim(ctx, table, t, c, false, work)
	} else {
		answer, err = o.pass(ctx, t, id, c)
	}

	return answer, o.next(text, err), err
}

// malformed is unknown: the caller may have had the ticket whole before.
func malformed(err error) error {
	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadRequest, 0, err)
	f.Attempt = carobward.NotRun

	return f
}

// next returns the ticket for the next try: the same one, or after a not-run
// a new one, since the old one is closed.
func (o *Owner) next(text string, err error) string {
	if err != nil && carobward.VerdictOf(err) == carobward.NotRun {
		return o.own.Issuer().Ticket(o.clock.Now()).String()
	}

	return text
}

// Refuse gives a request up before its work, for a reason that has nothing to
// do with its ticket. Without a ticket the failure stands. With one it stands
// only if the ticket can be closed here; else an earlier request with it may
// have run elsewhere, and the verdict is unknown.
func (o *Owner) Refuse(text string, f *carobward.Failure) (string, error) {
	if text == "" || f.Verdict != carobward.NotRun {
		return text, f
	}

	unknown := carobward.NewFailure(carobward.Unknown, f.Status, f.RetryAfter, errors.Annotate(f.Cause, ErrEarly.Error()))
	unknown.Attempt = carobward.NotRun

	t, err := cwticket.Parse(text)
	if err != nil {
		return text, unknown
	}

	table := o.table(t.Owner)
	if table == nil {
		return text, unknown
	}

	err = table.Refuse(o.clock.Now(), t, f)

	return o.next(text, err), err
}

// table returns the table of an owner's tickets, if they are kept here.
func (o *Owner) table(of cwticket.Owner) *cwticket.Table {
	if of == o.self {
		return o.own
	}

	o.mutex.Lock()
	defer o.mutex.Unlock()

	if e := o.handovers[of]; e != nil {
		return e.table
	}

	return nil
}

// claim does the work unless an outcome is recorded already.
func (o *Owner) claim(ctx context.Context, table *cwticket.Table, t cwticket.Ticket, c *carobward.Call, only bool, work Work) (*cwticket.Outcome, error) {
	claim, answer, err := table.Start(o.clock.Now(), t, cwticket.DigestOf(c), c.Deadline)
	if claim == nil {
		return answer, err
	}

	return o.run(ctx, claim, only, work)
}

// run does claimed work and records its outcome. The work goes on when the
// caller has left, since its outcome must not be lost.
func (o *Owner) run(ctx context.Context, claim *cwticket.Claim, only bool, work Work) (*cwticket.Outcome, error) {
	defer func() { claim.Close(o.clock.Now()) }()

	answer, err := work(context.WithoutCancel(ctx))
	now := o.clock.Now()

	if err == nil {
		claim.Ran(now, answer)

		return answer, nil
	}

	f := failureOf(err)

	switch f.Verdict {
	case carobward.NotRun:
		f.Verdict, f.Attempt = claim.NotRun(now, only), carobward.NotRun
	case carobward.Ran:
		claim.Ran(now, nil)
	default:
		claim.Lost(now)
	}

	return nil, f
}

// failureOf returns a copy of the failure that an error is.
func failureOf(err error) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, retryAfter, err)
	}

	one := *f

	return &one
}

// Tick forgets what is no longer honoured, and tells peers for whom this
// entry VM stands in.
func (o *Owner) Tick(now time.Time) {
	o.own.Tick(now)
	o.tickHandovers(now)
	o.tell(now)
}

// Stop closes, ends what runs in the background and waits for it.
func (o *Owner) Stop() {
	defer close(o.done)

	o.Close()

	o.mutex.Lock()
	o.stop()
	o.mutex.Unlock()

	o.group.Wait()
}

// background runs something that Stop waits for, but no more after Stop.
func (o *Owner) background(f func()) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.work.Err() != nil {
		return false
	}

	o.group.Go(f)

	return true
}
