// Package cwentry serves the callers: it matches a request to a target,
// carries it to a server and sends the whole reply or a verdict back.
package cwentry

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwdisconnect"
	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwmap"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtrace"
)

// The errors of a request that is given up.
const (
	ErrServer = errors.ConstError("entry: no server can take this request now")
	ErrPaused = errors.ConstError("entry: this entry VM stood still and does not know yet which servers leave")
	ErrBusy   = errors.ConstError("entry: this entry VM has too many requests in flight")
	ErrNew    = errors.ConstError("entry: this entry VM has no configuration yet")
)

// retryAfter is when a caller should come back if nothing better is known.
const retryAfter = 500 * time.Millisecond

// waitingShare is the part of the requests in flight that may wait for the
// servers of one service.
const waitingShare = 4

// Options are the settings of a Carrier.
type Options struct {
	// VM is the id of this entry VM.
	VM carobward.VMID
	// Calls is the number of requests in flight at once.
	Calls int
	// Bodies bounds the memory of all their bodies; zero is 128 MB.
	Bodies carobward.ByteCount
	// Policy chooses servers.
	Policy cwroute.Policy
	// Metrics counts hedges, retries and sheds; nil makes a map of its own.
	Metrics *expvar.Map
	// Requests counts the requests; nil counts nothing.
	Requests *cwmetric.Requests
	// Tracer makes the requests' spans; nil is off.
	Tracer *cwtrace.Tracer
	// Reports decides which calls ask for a report; nil: none does.
	Reports Reports
}

// Reports decides which calls ask the server for a report with the reply.
type Reports interface {
	// Ask tells whether the next call to a server is to ask. If so, Took must
	// be called.
	Ask(s *cwserver.Server) bool
	// Took counts the reply to a call; nil is one that was given up.
	Took(asked bool, reply *carobward.Reply)
}

// noReports asks for none.
type noReports struct{}

func (noReports) Ask(*cwserver.Server) bool   { return false }
func (noReports) Took(bool, *carobward.Reply) {}

// Carrier carries callers' requests.
type Carrier struct {
	options Options
	holder  *cwconfig.Holder
	servers *cwserver.Table
	link    carobward.Servers
	owner   Owner
	clock   carobward.Clock
	log     logr.Logger

	shares  *cwlimit.Shares
	gates   *cwmap.Map[carobward.Service, *cwlimit.Gate]
	metrics *expvar.Map
	records *cwmap.Map[carobward.TargetName, *cwretry.TargetState]

	running atomic.Int64
	serial  atomic.Uint64
	waiting *cwdisconnect.Watcher
	bodies  bodies

	// bound ends when a stop may wait no longer for requests in flight.
	bound context.Context //nolint:containedctx // It outlives any request.
	abort context.CancelFunc
}

// New returns a Carrier.
func New(o Options, holder *cwconfig.Holder, servers *cwserver.Table, link carobward.Servers, owner Owner, clock carobward.Clock, log logr.Logger) *Carrier {
	if o.Reports == nil {
		o.Reports = noReports{}
	}

	gate := func() *cwlimit.Gate { return cwlimit.NewGate(max(1, o.Calls/waitingShare), clock) }

	c := &Carrier{
		options: o,
		holder:  holder,
		servers: servers,
		link:    link,
		owner:   owner,
		clock:   clock,
		log:     log.WithName("entry"),
		shares:  cwlimit.NewShares(o.Calls),
		gates:   cwmap.New[carobward.Service](gate),
		metrics: o.Metrics,
		records: cwmap.New[carobward.TargetName](cwretry.NewTargetState),
	}
	c.bodies.most = int64(cmp.Or(o.Bodies, bodiesDefault))
	c.waiting = cwdisconnect.New()

	if c.metrics == nil {
		c.metrics = new(expvar.Map).Init()
	}

	// Attempts of an earlier run have other ids.
	c.serial.Store(uint64(rand.Uint32()) << 16)
	c.bound, c.abort = context.WithCancel(context.Background())

	return c
}

// Running returns the number of requests in flight.
func (c *Carrier) Running() int64 { return c.running.Load() }

// Abort gives up all requests in flight. What has been sent to a server is
// answered with Unknown.
func (c *Carrier) Abort() { c.abort() }

// abortable returns a context that also ends at Abort.
func (c *Carrier) abortable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.bound, cancel)

	return ctx, func() {
		stop()
		cancel()
	}
}

// Handle serves one request.
func (c *Carrier) Handle(ctx *fasthttp.RequestCtx) {
	id, err := requestID(ctx)
	o := c.observe(ctx, id)

	var reply *answer

	if err != nil {
		err = c.refuse(ctx, err)
	} else {
		reply, err = c.serve(ctx, id, o)
	}

	if err != nil {
		c.writeFailure(ctx, id, err)
	} else {
		c.writeReply(ctx, id, reply)
	}

	c.observed(ctx, o, err)
}

func (c *Carrier) serve(ctx *fasthttp.RequestCtx, id carobward.RequestID, o *observation) (*answer, error) {
	if err := check(ctx); err != nil {
		return nil, c.refuse(ctx, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err))
	}

	uri := originForm(ctx)

	target, err := c.target(string(ctx.Host()), string(ctx.Method()), uri)
	if err != nil {
		return nil, c.refuse(ctx, err)
	}

	o.belongs(target)

	body, release, err := c.body(ctx, target)
	if err != nil {
		return nil, c.refuse(ctx, err)
	}

	defer release()
	defer c.running.Add(-1)

	if err := c.admit(); err != nil {
		return nil, c.refuse(ctx, err)
	}

	call, err := c.call(ctx, target, uri, body)
	if err != nil {
		return nil, c.refuse(ctx, err)
	}

	if target.Promise == carobward.Once {
		return c.once(o.ctx, ctx, id, target, call)
	}

	work, done := c.waiting.Watch(o.ctx, conn(ctx))
	defer done()

	return c.carry(work, id, target, call)
}

// admit counts a request in flight, whether it is admitted or not.
func (c *Carrier) admit() error {
	if c.running.Add(1) > int64(c.options.Calls) {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrBusy)
	}

	return nil
}
