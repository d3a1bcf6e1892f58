// Package cwentry serves the callers: it matches a request to a target,
// carries it to a server and sends the whole reply or a verdict back.
package cwentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
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

// Options are the settings of a Carrier.
type Options struct {
	// VM is the id of this entry VM.
	VM carobward.VMID
	// Calls is the number of requests in flight at once.
	Calls int
}

// Carrier carries callers' requests.
type Carrier struct {
	options Options
	holder  *cwconfig.Holder
	servers *cwserver.Table
	link    carobward.Servers
	clock   carobward.Clock
	log     logr.Logger

	running atomic.Int64
	serial  atomic.Uint64
}

// New returns a Carrier.
func New(o Options, holder *cwconfig.Holder, servers *cwserver.Table, link carobward.Servers, clock carobward.Clock, log logr.Logger) *Carrier {
	return &Carrier{options: o, holder: holder, servers: servers, link: link, clock: clock, log: log.WithName("entry")}
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

	return c.carry(context.Background(), id, target, call)
}

// answer is a reply and where it came from.
type answer struct {
	reply  *carobward.Reply
	server carobward.Address
}

// triesMost bounds the attempts at one request.
const triesMost = 3

// carry tries servers until one answers. Work that must not repeat is tried
// again only if it has been proved not run.
func (c *Carrier) carry(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	var tried []*cwserver.Server

	last := carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrServer)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))

	for range triesMost {
		s := cwroute.Choose(c.servers.Of(target.Service), tried, rng)
		if s == nil {
			break
		}

		tried = append(tried, s)

		reply, err := c.attempt(ctx, id, s, call)
		if err == nil {
			return &answer{reply, s.Address}, nil
		}

		if last = c.failure(err, last.Verdict); target.Promise == carobward.Once && last.Verdict != carobward.NotRun {
			break
		}
	}

	return nil, last
}

// failure fills in when to come back. A request that may have run in an
// earlier attempt stays Unknown.
func (c *Carrier) failure(err error, before carobward.Verdict) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		f = carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, err)
	}

	if f.RetryAfter == 0 {
		f.RetryAfter = retryAfter
	}

	if before == carobward.Unknown {
		f.Verdict = carobward.Unknown
	}

	return f
}

// attempt sends the call to one server.
func (c *Carrier) attempt(ctx context.Context, id carobward.RequestID, s *cwserver.Server, call *carobward.Call) (*carobward.Reply, error) {
	one := *call
	one.ID = id + "~" + carobward.RequestID(strconv.FormatUint(c.serial.Add(1), 36))

	s.Running.Add(1)
	defer s.Running.Add(-1)

	reply, err := c.link.Exchange(ctx, s.Address, &one)
	if err != nil {
		return nil, err
	}

	s.SetReport(reply.Report)

	if reply.Shed {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrServer)
	}

	return reply, nil
}
