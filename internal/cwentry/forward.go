package cwentry

import (
	"cmp"
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

// answer is a reply and the address of the server that sent it.
type answer struct {
	reply  *carobward.Reply
	server carobward.Address
}

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 3

// race is a request that may be repeated, and its concurrent attempts.
type race struct {
	*admission
	id     carobward.RequestID
	call   *carobward.Call
	record *cwretry.TargetState

	began       time.Time
	sent        int
	pending     int
	results     chan result
	fallback    *answer
	lastFailure *carobward.Failure
}

// result is the result of one attempt.
type result struct {
	reply  *carobward.Reply
	err    error
	server *cwserver.Server
	// panicked is set if the attempt panicked.
	panicked *panics.Recovered
}

// forwardRepeatable sends a request that may be repeated. It hedges: if the
// first server is slow, it sends the request to a second one. If an attempt
// fails, it retries. Both are limited by the target's retry budget. The first
// good reply wins; the other attempts are canceled.
func (fw *Forwarder) forwardRepeatable(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	a, err := fw.enter(target, call)
	if err != nil {
		return nil, err
	}

	defer a.leave()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	r := &race{
		admission: a,
		id:        id,
		call:      call,
		record:    fw.records.Get(target.Name),
		began:     fw.clock.Now(),
		results:   make(chan result, maxAttempts),
	}
	r.record.Budget.Earn()
	r.send(ctx)

	return r.awaitReply(ctx)
}

// send starts an attempt at the server that the admission holds.
func (r *race) send(ctx context.Context) {
	s, registered := r.server, r.serverCall
	r.sent++
	r.pending++

	go func() {
		res := result{server: s}
		res.panicked = panics.Try(func() {
			res.reply, res.err = r.forwarder.attempt(ctx, r.id, s, registered, r.call)
		})
		r.results <- res
	}()
}

// awaitReply returns the first good reply, or else the last reply with a server
// error, or else the last failure.
func (r *race) awaitReply(ctx context.Context) (*answer, error) {
	_, first := r.record.Due(r.began, 0, r.server)

	timer := time.NewTimer(first)
	defer timer.Stop()

	if first == 0 {
		timer.Stop()
	}

	for r.pending > 0 {
		select {
		case res := <-r.results:
			if a := r.handleResult(ctx, res); a != nil {
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

	return nil, r.lastFailure
}

// handleResult returns the answer if the reply is a good one. Otherwise it
// retries if no other attempt is pending, and returns nil.
func (r *race) handleResult(ctx context.Context, res result) *answer {
	r.pending--

	if res.panicked != nil {
		panic(res.panicked.Value)
	}

	if res.err == nil && !isServerFailure(res.reply) {
		r.record.Latency.Add(r.forwarder.clock.Now().Sub(r.began))

		return &answer{res.reply, res.server.Address}
	}

	if res.err == nil {
		r.fallback = &answer{res.reply, res.server.Address}
	} else {
		r.lastFailure = r.forwarder.failure(res.err, r.verdict())
		r.lastFailure.RetryAfter = r.forwarder.recoveryDelay(r.target)
	}

	if r.pending == 0 && r.sent < maxAttempts && r.reserveAttempt() {
		r.forwarder.metrics.Add("retries", 1)
		r.send(ctx)
	}

	return nil
}

// verdict returns the verdict of the failures so far.
func (r *race) verdict() carobward.Verdict {
	if r.lastFailure == nil {
		return carobward.NotRun
	}

	return r.lastFailure.Verdict
}

// hedge sends the call to a second server if that is due. If it is not due yet,
// hedge returns the time after which to check again.
func (r *race) hedge(ctx context.Context) time.Duration {
	now := r.forwarder.clock.Now()
	age := now.Sub(r.began)

	due, next := r.record.Due(now, age, r.server)
	if !due {
		return next - age
	}

	if r.sent == 1 && r.reserveAttempt() {
		r.forwarder.metrics.Add("hedges", 1)
		r.send(ctx)
	}

	return 0
}

// reserveAttempt chooses another server for one more attempt. It returns false
// if there isn't enough time left, no server has room, or the retry budget is
// used up.
func (r *race) reserveAttempt() bool {
	if r.call.Deadline.Sub(r.forwarder.clock.Now()) <= r.server.UsualLatency() {
		return false
	}

	if !r.next() {
		return false
	}

	if !r.record.Budget.Take() {
		r.serverCall.End(r.forwarder.clock.Now(), cwserver.Cancelled)

		return false
	}

	return true
}

// failure returns an error as a failure with a verdict. If the request may have
// run in an earlier attempt, the verdict stays Unknown.
func (fw *Forwarder) failure(err error, earlier carobward.Verdict) *carobward.Failure {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		f = carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, err)
	}

	if f.RetryAfter == 0 {
		f.RetryAfter = defaultRetry
	}

	if earlier == carobward.Unknown {
		f.Verdict = carobward.Unknown
	}

	return f
}

// attempt sends the call to one server. serverCall is the call as already
// registered at the server.
func (fw *Forwarder) attempt(ctx context.Context, id carobward.RequestID, s *cwserver.Server, serverCall cwserver.Call, call *carobward.Call) (*carobward.Reply, error) {
	if fw.endsTooEarly(s, call) {
		serverCall.End(fw.clock.Now(), cwserver.Cancelled)

		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetry, ErrStopping)
	}

	if now := fw.clock.Now(); !fw.servers.MayDispatch(s, now) {
		serverCall.End(now, cwserver.Cancelled)

		cause := ErrNoServer
		if !fw.servers.Fresh(now) {
			cause = ErrPaused
		}

		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, cause)
	}

	attemptCall := *call
	if p := fw.plan.Load(); p != nil {
		attemptCall.WorkLimit = p.Limit(call.Deadline)
	}

	attemptCall.ID = id + "~" + carobward.RequestID(strconv.FormatUint(fw.attemptSerial.Add(1), 36))

	ctx, cancel := fw.abortable(ctx)
	defer cancel()

	reply, err := fw.exchange(ctx, s, serverCall, &attemptCall)
	if err != nil {
		return nil, err
	}

	s.SetReport(reply.Report)

	if reply.Shed {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, ErrNoServer)
	}

	return reply, nil
}

// endsTooEarly reports whether this entry VM is stopping and a server's answer may come too late. A
// server of unknown latency may use all the time that is left.
func (fw *Forwarder) endsTooEarly(s *cwserver.Server, call *carobward.Call) bool {
	p := fw.plan.Load()
	if p == nil {
		return false
	}

	now := fw.clock.Now()

	return !p.Takes(now, call.Deadline, cmp.Or(s.UsualLatency(), call.Deadline.Sub(now)))
}

// exchange sends the call. Even after a panic, it records the end of the call at
// the server and the cost of the load report.
func (fw *Forwarder) exchange(ctx context.Context, s *cwserver.Server, serverCall cwserver.Call, call *carobward.Call) (*carobward.Reply, error) {
	var reply *carobward.Reply

	o := cwserver.Failed
	call.WantReport = fw.options.Reports.Ask(s)

	defer func() {
		serverCall.End(fw.clock.Now(), o)
		fw.options.Reports.Took(call.WantReport, reply)
	}()

	spanCtx, span := fw.options.Tracer.Attempt(ctx, s.Address)
	call.Header = span.Header(call.Header)

	var err error

	reply, err = fw.link.Exchange(spanCtx, s.Address, call)
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

// outcome returns the outcome of an attempt for the statistics of its server.
func outcome(ctx context.Context, reply *carobward.Reply, err error) cwserver.Outcome {
	switch {
	case ctx.Err() != nil:
		return cwserver.Cancelled
	case errors.Is(err, cwlink.ErrConnsInUse):
		return cwserver.PoolExhausted
	case err != nil:
		return cwserver.Failed
	case reply.Shed:
		return cwserver.Refused
	case isServerFailure(reply):
		return cwserver.Failed
	default:
		return cwserver.Replied
	}
}

// isServerFailure reports whether a reply counts as a failure of its server: a
// 5xx status other than 501.
func isServerFailure(r *carobward.Reply) bool {
	return r.Status >= fasthttp.StatusInternalServerError && r.Status != fasthttp.StatusNotImplemented
}
