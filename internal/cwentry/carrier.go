// Package cwentry serves the callers: it matches a request to a target,
// carries it to a server and sends the whole reply or a verdict back.
package cwentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwmap"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
)

// The errors of a request that is given up.
const (
	ErrTarget = errors.ConstError("no target matches this request")
	ErrServer = errors.ConstError("no server can take this request now")
	ErrBusy   = errors.ConstError("this entry VM has too many requests in flight")
	ErrNew    = errors.ConstError("this entry VM has no configuration yet")
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
	// Policy chooses servers.
	Policy cwroute.Policy
}

// Carrier carries callers' requests.
type Carrier struct {
	options Options
	holder  *cwconfig.Holder
	servers *cwserver.Table
	link    carobward.Servers
	clock   carobward.Clock
	log     logr.Logger

	shares  *cwlimit.Shares
	gates   *cwmap.Map[carobward.Service, *cwlimit.Gate]
	records *cwmap.Map[carobward.TargetName, *cwretry.Record]

	running atomic.Int64
	serial  atomic.Uint64
}

// New returns a Carrier.
func New(o Options, holder *cwconfig.Holder, servers *cwserver.Table, link carobward.Servers, clock carobward.Clock, log logr.Logger) *Carrier {
	gate := func() *cwlimit.Gate { return cwlimit.NewGate(max(1, o.Calls/waitingShare), clock) }

	return &Carrier{
		options: o,
		holder:  holder,
		servers: servers,
		link:    link,
		clock:   clock,
		log:     log.WithName("entry"),
		shares:  cwlimit.NewShares(o.Calls),
		gates:   cwmap.New[carobward.Service](gate),
		records: cwmap.New[carobward.TargetName](cwretry.NewRecord),
	}
}

// Running returns the number of requests in flight.
func (c *Carrier) Running() int64 { return c.running.Load() }

// Handle serves one request.
func (c *Carrier) Handle(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)

	reply, err := c.serve(ctx, id)
	if err != nil {
		c.writeFailure(ctx, id, err)

		return
	}

	c.writeReply(ctx, id, reply)
}

func (c *Carrier) serve(ctx *fasthttp.RequestCtx, id carobward.RequestID) (*answer, error) {
	if c.running.Add(1) > int64(c.options.Calls) {
		c.running.Add(-1)

		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrBusy)
	}

	defer c.running.Add(-1)

	if c.holder.Revision() == 0 {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrNew)
	}

	target := c.holder.Targets().Find(string(ctx.Host()), string(ctx.Method()), string(ctx.Path()))
	if target == nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusNotFound, 0, ErrTarget)
	}

	call, err := c.call(ctx, target)
	if err != nil {
		return nil, err
	}

	if target.Promise == carobward.Once {
		return c.single(context.Background(), id, target, call)
	}

	return c.carry(context.Background(), id, target, call)
}
