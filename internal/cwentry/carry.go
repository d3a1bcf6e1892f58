package cwentry

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// answer is a reply and where it came from.
type answer struct {
	reply  *carobward.Reply
	server carobward.Address
}

// triesMost bounds the attempts at one request.
const triesMost = 3

// carry tries servers until one answers.
func (c *Carrier) carry(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	var tried []*cwserver.Server

	last := carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrServer)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))

	for range triesMost {
		s := c.options.Policy.Choose(c.clock.Now(), c.servers.Of(target.Service), tried, rng)
		if s == nil {
			break
		}

		tried = append(tried, s)

		reply, err := c.attempt(ctx, id, s, call)
		if err == nil {
			return &answer{reply, s.Address}, nil
		}

		last = c.failure(err, last.Verdict)
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
	if !c.servers.MayDispatch(s, c.clock.Now()) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrServer)
	}

	one := *call
	one.ID = id + "~" + carobward.RequestID(strconv.FormatUint(c.serial.Add(1), 36))

	one.Ask = c.options.Reports.Ask(s)

	out := s.Begin(c.clock.Now())
	reply, err := c.link.Exchange(ctx, s.Address, &one)
	out.End(c.clock.Now(), outcome(ctx, reply, err))
	c.options.Reports.Took(one.Ask, reply)

	if err != nil {
		return nil, err
	}

	s.SetReport(reply.Report)

	if reply.Shed {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrServer)
	}

	return reply, nil
}

// outcome is what an attempt tells of its server.
func outcome(ctx context.Context, reply *carobward.Reply, err error) cwserver.Outcome {
	switch {
	case ctx.Err() != nil:
		return cwserver.Cancelled
	case err != nil:
		return cwserver.Failed
	case reply.Shed:
		return cwserver.Refused
	case reply.Status >= fasthttp.StatusInternalServerError:
		return cwserver.Failed
	default:
		return cwserver.Replied
	}
}
