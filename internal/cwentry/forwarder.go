// Package cwentry is the reverse proxy of an entry VM: it matches a caller's
// request to a target, forwards it to a server of the target's service, and
// sends the complete reply or a failure with a verdict back.
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
	"carobward.example/carobward/internal/cwstop"
	"carobward.example/carobward/internal/cwtrace"
)

// Errors of a request that this entry VM can't forward.
const (
	ErrNoServer = errors.ConstError("entry: no server can take this request now")
	ErrPaused   = errors.ConstError("entry: this entry VM stood still and does not know yet which servers leave")
	ErrStopping = errors.ConstError("entry: this entry VM is stopping, the reply might come too late")
	ErrBusy     = errors.ConstError("entry: this entry VM has too many requests in flight")
	ErrNoConfig = errors.ConstError("entry: this entry VM has no configuration yet")
)

// defaultRetry is the time after which a caller should retry if there is no
// better estimate.
const defaultRetry = 500 * time.Millisecond

// waitingDivisor bounds the queue of each service: 1/waitingDivisor of the
// maximum number of requests in flight may wait for its servers.
const waitingDivisor = 4

// Options are the settings of a Forwarder.
type Options struct {
	// VM is the id of this entry VM.
	VM carobward.VMID
	// Calls is the maximum number of requests in flight.
	Calls int
	// Bodies bounds the memory of the bodies of all requests in flight; zero
	// means 128 MB.
	Bodies carobward.ByteCount
	// Policy chooses servers.
	Policy cwroute.Policy
	// Metrics counts hedges, retries and shed requests. If it is nil, New
	// creates a map.
	Metrics *expvar.Map
	// Requests counts the requests; nil disables the counts.
	Requests *cwmetric.Requests
	// Tracer creates the spans of requests; nil disables tracing.
	Tracer *cwtrace.Tracer
	// Reports decides which calls ask for a load report; nil means that none
	// does.
	Reports Reports
}

// Reports decides which calls ask the server for a load report with the reply.
type Reports interface {
	// Ask reports whether the next call to a server should ask for a report.
	// If so, Took must be called after it.
	Ask(s *cwserver.Server) bool
	// Took accounts for the reply to a call. The reply is nil if the call
	// failed.
	Took(asked bool, reply *carobward.Reply)
}

// noReports never asks for a report.
type noReports struct{}

func (noReports) Ask(*cwserver.Server) bool   { return false }
func (noReports) Took(bool, *carobward.Reply) {}

// Forwarder forwards callers' requests to servers.
type Forwarder struct {
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

	// plan is that of the stop, or nil if this entry VM isn't stopping.
	plan          atomic.Pointer[cwstop.Plan]
	inFlight      atomic.Int64
	attemptSerial atomic.Uint64
	callers       *cwdisconnect.Watcher
	bodies        bodies

	// abortCtx is canceled by Abort, when a shutdown no longer waits for the
	// requests in flight.
	abortCtx context.Context //nolint:containedctx // It outlives any request.
	abort    context.CancelFunc
}

// New returns a Forwarder.
func New(o Options, holder *cwconfig.Holder, servers *cwserver.Table, link carobward.Servers, owner Owner, clock carobward.Clock, log logr.Logger) *Forwarder {
	if o.Reports == nil {
		o.Reports = noReports{}
	}

	gate := func() *cwlimit.Gate { return cwlimit.NewGate(max(1, o.Calls/waitingDivisor), clock) }

	fw := &Forwarder{
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
	fw.bodies.maxBytes = int64(cmp.Or(o.Bodies, defaultMaxBodies))
	fw.callers = cwdisconnect.New()

	if fw.metrics == nil {
		fw.metrics = new(expvar.Map).Init()
	}

	// The random start makes the ids of attempts differ from those of an
	// earlier run of this process.
	fw.attemptSerial.Store(uint64(rand.Uint32()) << 16)
	fw.abortCtx, fw.abort = context.WithCancel(context.Background())

	return fw
}

// Running returns the number of requests in flight.
func (fw *Forwarder) Running() int64 { return fw.inFlight.Load() }

// Leave makes the forwarder refuse requests whose answer may come after a plan's end.
func (fw *Forwarder) Leave(p cwstop.Plan) { fw.plan.Store(&p) }

// Abort cancels all requests in flight. Those that have been sent to a server
// get the verdict Unknown.
func (fw *Forwarder) Abort() { fw.abort() }

// abortable returns a context that Abort cancels as well.
func (fw *Forwarder) abortable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(fw.abortCtx, cancel)

	return ctx, func() {
		stop()
		cancel()
	}
}

// Handle serves one request.
func (fw *Forwarder) Handle(ctx *fasthttp.RequestCtx) {
	id, err := requestID(ctx)
	o := fw.observe(ctx, id)

	var reply *answer

	if err != nil {
		err = fw.refuse(ctx, err)
	} else {
		reply, err = fw.serve(ctx, id, o)
	}

	if err != nil {
		fw.writeFailure(ctx, id, err)
	} else {
		fw.writeReply(ctx, id, reply)
	}

	fw.finishObservation(ctx, o, err)
}

func (fw *Forwarder) serve(ctx *fasthttp.RequestCtx, id carobward.RequestID, o *observation) (*answer, error) {
	if err := check(ctx); err != nil {
		ctx.SetConnectionClose() // What follows may belong to this request.

		return nil, fw.refuse(ctx, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err))
	}

	uri := originForm(ctx)

	target, err := fw.findTarget(string(ctx.Host()), string(ctx.Method()), uri)
	if err != nil {
		return nil, fw.refuse(ctx, err)
	}

	o.setTarget(target)

	body, release, err := fw.body(ctx, target)
	if err != nil {
		return nil, fw.refuse(ctx, err)
	}

	defer release()
	defer fw.inFlight.Add(-1)

	if err := fw.admit(); err != nil {
		return nil, fw.refuse(ctx, err)
	}

	call, err := fw.newCall(ctx, target, uri, body)
	if err != nil {
		return nil, fw.refuse(ctx, err)
	}

	if target.Promise == carobward.Once {
		return fw.serveOnce(o.ctx, ctx, id, target, call)
	}

	callerCtx, done := fw.callers.Watch(o.ctx, conn(ctx))
	defer done()

	return fw.forwardRepeatable(callerCtx, id, target, call)
}

// admit counts a request in flight and returns an error if there are too many.
// The request is counted in either case.
func (fw *Forwarder) admit() error {
	if fw.inFlight.Add(1) > int64(fw.options.Calls) {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetry, ErrBusy)
	}

	return nil
}
