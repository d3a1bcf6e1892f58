// Package cwowner executes requests at most once. A request carries a ticket, an
// idempotency key that is issued and owned by one entry VM, which records the
// outcome. A request that arrives at another entry VM is forwarded to the
// ticket's owner over net/rpc. An owner that is leaving hands its outcomes over
// to another entry VM, its successor.
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

// Work executes one request. Its error is a carobward.Failure.
type Work func(ctx context.Context) (*cwticket.Outcome, error)

// Runner executes requests that other entry VMs forward.
type Runner interface {
	// RunOnce matches a call to its target and forwards it to a backend
	// server. It retries only when the call is proved not to have run.
	RunOnce(ctx context.Context, id carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error)
}

// The causes of a failure.
const (
	ErrUnknownOwner   = errors.ConstError("owner: the entry VM that owns the ticket is gone or not known")
	ErrUnresponsive   = errors.ConstError("owner: the entry VM that owns the ticket does not answer")
	ErrTimeout        = errors.ConstError("owner: the request's time was over before its outcome was known")
	ErrEarlierRequest = errors.ConstError("owner: an earlier request with this ticket may have run")
)

// retryAfter is the default delay after which callers should retry.
const retryAfter = 500 * time.Millisecond

// Owner keeps the outcomes of this entry VM's tickets, and those of the owners
// that it is the successor of.
type Owner struct {
	peers  carobward.Peers
	calls  cwpeer.Calls
	clock  carobward.Clock
	log    logr.Logger
	params Params

	self   cwticket.Owner
	secret cwticket.Secret
	budget *cwticket.Budget
	limits cwticket.Options
	own    *cwticket.Table

	mutex         sync.Mutex
	closedAge     time.Duration
	handovers     map[cwticket.Owner]*handover
	successors    map[cwticket.Owner]*successor
	unresponsive  map[carobward.Address]time.Time
	announcing    bool
	lastAnnounced time.Time

	cancel   context.CancelFunc
	lifetime context.Context //nolint:containedctx // Its end stops background work.
	group    conc.WaitGroup
	done     chan struct{}
}

// New returns the owner of this entry VM's tickets, with a new random key.
func New(limits cwticket.Options, peers carobward.Peers, calls cwpeer.Calls, clock carobward.Clock, log logr.Logger) (*Owner, error) {
	self := peers.Self()
	o := &Owner{
		peers:        peers,
		calls:        calls,
		clock:        clock,
		log:          log.WithName("owner"),
		params:       DefaultParams(),
		self:         cwticket.Owner{VM: self.ID, Incarnation: self.Incarnation},
		budget:       cwticket.NewBudget(limits),
		limits:       limits,
		handovers:    map[cwticket.Owner]*handover{},
		successors:   map[cwticket.Owner]*successor{},
		unresponsive: map[carobward.Address]time.Time{},
		done:         make(chan struct{}),
	}

	if _, err := rand.Read(o.secret[:]); err != nil {
		return nil, errors.Annotate(err, "owner")
	}

	o.lifetime, o.cancel = context.WithCancel(context.Background())
	o.own = cwticket.NewTable(cwticket.NewIssuer(o.self, o.secret, 0, clock.Now()), o.budget)

	return o, nil
}

// Done is closed once Stop has returned.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Prefix returns a new ticket prefix for a caller.
func (o *Owner) Prefix() string { return o.own.Issuer().Prefix(o.clock.Now()) }

// Used returns the number of recorded and of closed tickets, and the bytes that
// the answers take.
func (o *Owner) Used() (records, closed int, bytes carobward.ByteCount) { return o.budget.Used() }

// Do executes a request at most once. text is the ticket sent with the request, or
// empty. Do returns the answer or a Failure, and the ticket for the caller's
// next attempt.
func (o *Owner) Do(ctx context.Context, text string, id carobward.RequestID, c *carobward.Call, work Work) (*cwticket.Outcome, string, error) {
	if text == "" {
		t := o.own.Issuer().Ticket(o.clock.Now())
		answer, err := o.runOnce(ctx, o.own, t, c, true, work)

		return answer, t.String(), err
	}

	t, err := cwticket.Parse(text)
	if err != nil {
		return nil, text, malformedTicket(err)
	}

	var answer *cwticket.Outcome

	if table := o.table(t.Owner); table != nil {
		answer, err = o.runOnce(ctx, table, t, c, false, work)
	} else {
		answer, err = o.forward(ctx, t, id, c)
	}

	return answer, o.nextTicket(text, err), err
}

// malformedTicket returns the failure for a malformed ticket. The verdict is
// unknown, since the caller may have sent the intact ticket before.
func malformedTicket(err error) error {
	f := carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadRequest, 0, err)
	f.Attempt = carobward.NotRun

	return f
}

// nextTicket returns the ticket for the caller's next attempt: the same one, or a
// new one after the verdict not-run, which closes the old one.
func (o *Owner) nextTicket(text string, err error) string {
	if err != nil && carobward.VerdictOf(err) == carobward.NotRun {
		return o.own.Issuer().Ticket(o.clock.Now()).String()
	}

	return text
}

// Refuse rejects a request before its work is started, for a reason unrelated to
// its ticket, and returns the ticket for the next attempt and the failure to
// report. Without a ticket that is f. With one, the verdict not-run is kept only
// if the ticket can be closed here; otherwise it becomes unknown, since an
// earlier request with the ticket may have run elsewhere.
func (o *Owner) Refuse(text string, f *carobward.Failure) (string, error) {
	if text == "" || f.Verdict != carobward.NotRun {
		return text, f
	}

	unknown := carobward.NewFailure(carobward.Unknown, f.Status, f.RetryAfter, errors.Annotate(f.Cause, ErrEarlierRequest.Error()))
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

	return o.nextTicket(text, err), err
}

// table returns the table of an owner's tickets, or nil if it is not kept here.
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

// runOnce executes the work unless the ticket has been used already. exclusive
// means that no other request can have the ticket.
func (o *Owner) runOnce(ctx context.Context, table *cwticket.Table, t cwticket.Ticket, c *carobward.Call, exclusive bool, work Work) (*cwticket.Outcome, error) {
	claim, answer, err := table.Start(o.clock.Now(), t, cwticket.DigestOf(c), c.Deadline)
	if claim == nil {
		return answer, err
	}

	return o.run(ctx, claim, exclusive, work)
}

// run executes claimed work and records its outcome. The work continues when the
// caller disconnects, so that its outcome is not lost.
func (o *Owner) run(ctx context.Context, claim *cwticket.Claim, exclusive bool, work Work) (*cwticket.Outcome, error) {
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
		f.Verdict, f.Attempt = claim.NotRun(now, exclusive), carobward.NotRun
	case carobward.Ran:
		claim.Ran(now, nil)
	default:
		claim.Lost(now)
	}

	return nil, f
}

// failureOf returns a copy of the Failure in err. Any other error becomes a
// failure with the verdict unknown.
func failureOf(err error) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, retryAfter, err)
	}

	c := *f

	return &c
}

// Tick removes expired tickets and handovers, and announces to peers which
// owners this entry VM is the successor of.
func (o *Owner) Tick(now time.Time) {
	o.own.Tick(now)
	o.tickHandovers(now)
	o.announce(now)
}

// Stop closes the owner, cancels background work and waits for it.
func (o *Owner) Stop() {
	defer close(o.done)

	o.Close()

	o.mutex.Lock()
	o.cancel()
	o.mutex.Unlock()

	o.group.Wait()
}

// background runs f in a goroutine that Stop waits for. It returns false, without
// a call of f, after Stop.
func (o *Owner) background(f func()) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.lifetime.Err() != nil {
		return false
	}

	o.group.Go(f)

	return true
}
