package cwentry

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwserver"
)

// answer is a reply and where it came from.
type answer struct {
	reply  *carobward.Reply
	server carobward.Address
}

// triesMost bounds the attempts at one request.
const triesMost = 3

// race is one request that may be repeated, with its attempts.
type race struct {
	*visit
	id     carobward.RequestID
	call   *carobward.Call
	record *cwretry.TargetState

	began    time.Time
	sent     int
	out      int
	replies  chan result
	fallback *answer
	last     *carobward.Failure
}

// result is the end of one attempt.
type result struct {
	reply  *carobward.Reply
	err    error
	server *cwserver.Server
	// panicked is set if the attempt did not end.
	panicked *panics.Recovered
}

// carry sends a request that may be repeated: to a second server if the first
// one is slow, and again if it fails, both within the target's budget. The
// first good reply wins and the other attempts are cancelled.
func (c *Carrier) carry(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	v, err := c.enter(target, call)
	if err != nil {
		return nil, err
	}

	defer v.leave()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	r := &race{
		visit:   v,
		id:      id,
		call:    call,
		record:  c.records.Get(target.Name),
		began:   c.clock.Now(),
		replies: make(chan result, triesMost),
	}
	r.record.Budget.Earn()
	r.send(ctx)

	return r.wait(ctx)
}

// send starts an attempt at the server that the visit holds.
func (r *race) send(ctx context.Context) {
	s, out := r.server, r.noted
	r.sent++
	r.out++

	go func() {
		one := result{server: s}
		one.panicked = panics.Try(func() {
			one.reply, one.err = r.carrier.attempt(ctx, r.id, s, out, r.call)
		})
		r.replies <- one
	}()
}

// wait returns the first good reply, or the last failure.
func (r *race) wait(ctx context.Context) (*answer, error) {
	_, first := r.record.Due(r.began, 0, r.server)

	timer := time.NewTimer(first)
	defer timer.Stop()

	if first == 0 {
		timer.Stop()
	}

	for r.out > 0 {
		select {
		case one := <-r.replies:
			if a := r.take(ctx, one); a != nil {
				return a, nil
			}
		case <-timer.C:
			if next := r.hedge(ctx); next > 0 {
				timer.Reset(next)
			}
		}
	}

	if r.fallback != nil {
		return r.fallback, nil
	}

	return nil, r.last
}

// take returns the answer if the reply is a good one, and else tries again.
func (r *race) take(ctx context.Context, one result) *answer {
	r.out--

	if one.panicked != nil {
		panic(one.panicked.Value)
	}

	if one.err == nil && !blames(one.reply) {
		r.record.Latency.Add(r.carrier.clock.Now().Sub(r.began))

		return &answer{one.reply, one.server.Address}
	}

	if one.err == nil {
		r.fallback = &answer{one.reply, one.server.Address}
	} else {
		r.last = r.carrier.failure(one.err, r.verdict())
		r.last.RetryAfter = r.carrier.recovery(r.target)
	}

	if r.out == 0 && r.sent < triesMost && r.again() {
		r.carrier.metrics.Add("retries", 1)
		r.send(ctx)
	}

	return nil
}

// verdict is that of the failures so far.
func (r *race) verdict() carobward.Verdict {
	if r.last == nil {
		return carobward.NotRun
	}

	return r.last.Verdict
}

// hedge sends the call to a second server if that is due, and returns after
// what time to look again.
func (r *race) hedge(ctx context.Context) time.Duration {
	now := r.carrier.clock.Now()
	age := now.Sub(r.began)

	due, next := r.record.Due(now, age, r.server)
	if !due {
		return next - age
	}

	if r.sent == 1 && r.again() {
		r.carrier.metrics.Add("hedges", 1)
		r.send(ctx)
	}

	return 0
}

// again takes another server for one more attempt, if one has room and the
// budget allows it.
func (r *race) again() bool {
	if r.call.Deadline.Sub(r.carrier.clock.Now()) <= r.server.Usual() {
		return false
	}

	if !r.next() {
		return false
	}

	if !r.record.Budget.Take() {
		r.noted.End(r.carrier.clock.Now(), cwserver.Cancelled)

		return false
	}

	return true
}

// failure gives an error its verdict. A request that may have run in an
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

// attempt sends the call to one server, where it has been noted already.
func (c *Carrier) attempt(ctx context.Context, id carobward.RequestID, s *cwserver.Server, noted cwserver.Call, call *carobward.Call) (*carobward.Reply, error) {
	if now := c.clock.Now(); !c.servers.MayDispatch(s, now) {
		noted.End(now, cwserver.Cancelled)

		cause := ErrServer
		if !c.servers.Fresh(now) {
			cause = ErrPaused
		}

		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, cause)
	}

	one := *call
	one.ID = id + "~" + carobward.RequestID(strconv.FormatUint(c.serial.Add(1), 36))

	ctx, cancel := c.abortable(ctx)
	defer cancel()

	reply, err := c.exchange(ctx, s, noted, &one)
	if err != nil {
		return nil, err
	}

	s.SetReport(reply.Report)

	if reply.Shed {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrServer)
	}

	return reply, nil
}

// exchange sends the call and notes its end and what its report cost, also if
// that panics.
func (c *Carrier) exchange(ctx context.Context, s *cwserver.Server, noted cwserver.Call, one *carobward.Call) (*carobward.Reply, error) {
	var reply *carobward.Reply

	o := cwserver.Failed
	one.WantReport = c.options.Reports.Ask(s)

	defer func() {
		noted.End(c.clock.Now(), o)
		c.options.Reports.Took(one.WantReport, reply)
	}()

	traced, span := c.options.Tracer.Attempt(ctx, s.Address)
	one.Header = span.Header(one.Header)

	var err error

	reply, err = c.link.Exchange(traced, s.Address, one)
	o = outcome(ctx, reply, err)

	span.End(statusOf(reply), err)

	return reply, err
}

func statusOf(r *carobward.Reply) int {
	if r == nil {
		return 0
	}

	return r.Status
}

// outcome is what an attempt tells of its server.
func outcome(ctx context.Context, reply *carobward.Reply, err error) cwserver.Outcome {
	switch {
	case ctx.Err() != nil:
		return cwserver.Cancelled
	case errors.Is(err, cwlink.ErrConnsInUse):
		return cwserver.Crowded
	case err != nil:
		return cwserver.Failed
	case reply.Shed:
		return cwserver.Refused
	case blames(reply):
		return cwserver.Failed
	default:
		return cwserver.Replied
	}
}

// blames tells whether a reply speaks against its server.
func blames(r *carobward.Reply) bool {
	return r.Status >= fasthttp.StatusInternalServerError && r.Status != fasthttp.StatusNotImplemented
}
