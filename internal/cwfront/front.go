// Package cwfront carries callers' requests to backend servers: it finds the
// route, looks at a few servers right before it sends, sends to the best, and
// answers with the whole reply or a failure that says no more than is known.
package cwfront

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwgone"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwquarantine"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwroutes"
)

// Options are the parts and figures that a Front needs.
type Options struct {
	Dialect carobward.CallerDialect
	Domain  carobward.Domain
	// Regions has the region of each failure domain.
	Regions map[carobward.Domain]carobward.Region
	Servers *cwbackend.Table
	Link    *cwlink.Link
	// Quarantine has the requests that are not sent since servers ended under them.
	Quarantine *cwquarantine.Keeper
	// Quota has the quotas of teams.
	Quota   *cwquota.Keeper
	Clock   carobward.Clock
	Metrics *cwmetric.Set
	Log     logr.Logger
	// Limits are the limits at the start, see SetLimits.
	Limits Limits
	// Fleet returns the number of entry VMs that share those bounds.
	Fleet func() int
	// Part returns this entry VM's part of all requests, by which the bound on
	// health checks is shared.
	Part func() float64
	// KeyAge returns how old the knowledge is which keys are in force: each one that was
	// taken away longer ago is known to be.
	KeyAge func(now time.Time) time.Duration
}

// Limits are the operators' limits over all entry VMs. They may change while an
// entry VM runs.
type Limits struct {
	// ExtraShare, ExtraWindow and ExtraLeast bound the calls beyond the first
	// of each request: in each window ExtraShare of the requests and ExtraLeast.
	ExtraShare  float64
	ExtraWindow time.Duration
	ExtraLeast  int
	// Looks is the most health checks a second that one server gets.
	Looks float64
	// KeyAge is the age of what this entry VM knows of keys from which on it serves nobody
	// by them; 0: it serves at any age.
	KeyAge time.Duration
}

// Front takes callers' requests.
type Front struct {
	Options

	limits  atomic.Pointer[Limits]
	routes  atomic.Pointer[cwroutes.Table]
	gone    *cwgone.Table
	flight  atomic.Int64
	total   atomic.Int64
	leaving atomic.Bool
	work    conc.WaitGroup
	// counts has this part's metrics.
	counts *expvar.Map

	mutex    sync.Mutex
	services map[carobward.Service]*service
}

// The bounds of the callers' listener.
const (
	// readTime bounds the time to read one whole request. Callers that keep
	// the operator's limits take less.
	readTime = 20 * time.Second
	// writeTime bounds the time to write one answer to a caller that does not
	// read.
	writeTime = 5 * time.Second
	// idleTime is how long a connection waits for its next request: longer
	// than the operator's limit, so that no request crosses our close.
	idleTime = 60 * time.Second
	// bufferBytes is the buffer a connection. It bounds the request line and
	// header, which the operators allow 16 KB.
	bufferBytes = 20 << 10
	// connsMost bounds the callers' connections, well below the descriptors
	// that a VM has.
	connsMost = 2400
	// bodyMost bounds a request's body where no configuration does.
	bodyMost = 64 << 20
)

// New returns a front without a configuration, which refuses requests.
func New(o Options) *Front {
	o.Log = o.Log.WithName("front")

	f := &Front{
		Options: o, gone: cwgone.New(), services: map[carobward.Service]*service{}, counts: o.Metrics.Part(part),
	}
	f.limits.Store(&o.Limits)

	return f
}

// SetLimits puts the operators' limits in force, but for ExtraWindow: what was
// counted in a window of another length says nothing of the new one.
func (f *Front) SetLimits(l Limits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	l.ExtraWindow = f.limits.Load().ExtraWindow
	f.limits.Store(&l)

	for _, s := range f.services {
		s.window.SetShare(l.ExtraShare * extraPart)
	}
}

// The names of this part's metrics.
const (
	part             = "front"
	countLooks       = "looks"
	countSends       = "sends"
	countAgain       = "again"
	countDenied      = "denied"
	countHedges      = "hedges"
	countHanded      = "handed"
	countPassed      = "passed"
	countBroken      = "broken"
	countQuarantined = "quarantined"
	countFaults      = "faults"
	countKeysOld     = "keysold"
	countOver        = "over"
	countUnknown     = "unknown"
)

// Server returns the HTTP server of the callers' listener.
func (f *Front) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.unreadable,
		Concurrency:                  connsMost,
		ReadBufferSize:               bufferBytes,
		MaxRequestBodySize:           bodyMost,
		ReadTimeout:                  readTime,
		WriteTimeout:                 writeTime,
		IdleTimeout:                  idleTime,
		ReduceMemoryUsage:            true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       printer{f.Log},
	}
}

// printer takes the HTTP library's own messages.
type printer struct{ log logr.Logger }

// Printf logs a message.
func (p printer) Printf(format string, args ...any) {
	p.log.V(1).Info("The HTTP library reports.", "message", format, "values", args)
}

// SetRoutes puts a configuration in force for the requests from now on.
func (f *Front) SetRoutes(t *cwroutes.Table) { f.routes.Store(t) }

// Routes returns the configuration in force, or nil.
func (f *Front) Routes() *cwroutes.Table { return f.routes.Load() }

// Homes returns the regions that are homes of each route of a host that has some.
func (f *Front) Homes(host string) []carobward.Region {
	t := f.routes.Load()
	if t == nil {
		return nil
	}

	return t.Homes(host)
}

// Leave makes each answer from now on the last one of its connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// Flight returns the number of requests that are being carried.
func (f *Front) Flight() int { return int(f.flight.Load()) }

// Total returns the number of requests that came.
func (f *Front) Total() int64 { return f.total.Load() }

// Tick looks for callers that have gone, and sets the pace of looks at
// servers by the number of those and of entry VMs.
func (f *Front) Tick(now time.Time) {
	f.gone.Tick()

	f.mutex.Lock()
	defer f.mutex.Unlock()

	for name, s := range f.services {
		limit, burst := f.pace(name)
		s.looks.SetLimitAt(now, limit)
		s.looks.SetBurstAt(now, burst)
	}
}

// The part of the bound on looks that is used, and the time for which looks
// can be saved up for a peak.
const (
	looksPart = 0.9
	looksSave = 4
)

// pace returns how many looks at a service's servers this entry VM makes a
// second, and how many it can save up.
func (f *Front) pace(name carobward.Service) (rate.Limit, int) {
	most := looksPart * f.limits.Load().Looks * float64(f.Servers.CountOf(name)) * f.Part()

	return rate.Limit(most), int(looksSave*most) + cwpick.Width
}

// Wait waits until all that was started for requests has ended.
func (f *Front) Wait() { f.work.Wait() }

// extraPart is the part of the bound on extra calls that is used. The rest is
// for entry VMs that see the fleet smaller than it is, and for windows that
// the entry VMs begin at different times.
const extraPart = 0.9

// slack is this entry VM's part of the extra calls that are free of the
// number of requests.
func (f *Front) slack() float64 {
	return extraPart * float64(f.limits.Load().ExtraLeast) / float64(max(1, f.Fleet()))
}

// handle serves one request. A fault in it costs this request only: one that ends the
// process would end each entry VM to which its caller comes back.
func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	f.flight.Add(1)
	f.total.Add(1)
	defer f.flight.Add(-1)
	defer func() {
		if cause := recover(); cause != nil {
			f.panicked(ctx, cause)
		}
	}()

	now := f.Clock.Now()
	r := f.request(ctx, now)

	if r.err == nil {
		work, done := f.gone.Wait(context.Background(), ctx.Conn())
		r.carry(work)
		done()
	}

	f.answer(ctx, r)

	if f.leaving.Load() {
		ctx.SetConnectionClose()
	}
}

// ErrFault is the cause told to a caller whose request met a fault of ours.
const ErrFault = errors.ConstError("a fault of the entry VM, the request may have run")

// panicked answers a request whose handling failed. It may have been sent.
func (f *Front) panicked(ctx *fasthttp.RequestCtx, cause any) {
	id := f.Dialect.ID(func(name string) string { return string(ctx.Request.Header.Peek(name)) })
	f.counts.Add(countFaults, 1)
	f.Log.Error(ErrFault, "A request met a fault.", "id", id, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
	ctx.Response.Reset()
	f.writeFailure(&ctx.Response, &request{front: f, id: id, err: carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, ErrFault)})
	ctx.SetConnectionClose()
}

// unreadable answers a request that could not be read. Nothing of it was sent.
func (f *Front) unreadable(ctx *fasthttp.RequestCtx, err error) {
	f.Log.Info("A request could not be read.", "from", addr(ctx.RemoteAddr()), "cause", err.Error())
	ctx.Response.Reset()
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	ctx.SetConnectionClose()
}

func addr(a net.Addr) string {
	if a == nil {
		return ""
	}

	return a.String()
}
