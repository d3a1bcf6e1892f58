package cwfront

import (
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwrelay"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwroutes"
)

// The causes of failure that callers are told.
const (
	ErrNoConfig         = errors.ConstError("this entry VM has no configuration yet")
	ErrNoRoute          = errors.ConstError("no route has this host and path")
	ErrAmbiguousHeader  = errors.ConstError("the request's header could be understood in two ways")
	ErrVersion          = errors.ConstError("the request is neither of HTTP/1.1 nor of HTTP/1.0")
	ErrBodyTooLarge     = errors.ConstError("the request's body is larger than the operator allows")
	ErrNoMemory         = errors.ConstError("this entry VM has no memory for the request now")
	ErrNoID             = errors.ConstError("the request has no id")
	ErrNoRoom           = errors.ConstError("no server has room now")
	ErrUnreached        = errors.ConstError("this entry VM reaches no server of the service now")
	ErrUnchecked        = errors.ConstError("no health check may be made now, and no connection to a server is known to work")
	ErrShort            = errors.ConstError("servers have too little room for the requests of all entry VMs now")
	ErrRefused          = errors.ConstError("the server refused it, and no further send is allowed")
	ErrNoServer         = errors.ConstError("no server of the service is known")
	ErrEvacuated        = errors.ConstError("all servers of the service are in failure domains that the operators have evacuated")
	ErrAllBarred        = errors.ConstError("no server may get a request now: those known are cold, want a pause, or their limits are used up")
	ErrRegions          = errors.ConstError("no server of the service may be used in the regions to which the route's requests may go")
	ErrCallerGone       = errors.ConstError("the caller has gone")
	ErrTimeout          = errors.ConstError("the time was over")
	ErrMayHaveRun       = errors.ConstError("a server refused it, but an earlier send may have run")
	ErrQuarantined      = errors.ConstError("servers ended under this request, it is not sent again for now")
	ErrNoKey            = errors.ConstError("the request shows no key that is in force")
	ErrStaleKeys        = errors.ConstError("this entry VM has not heard lately which keys are in force")
	ErrStopping         = errors.ConstError("this entry VM is stopping, the answer might come too late")
	ErrAmbiguousRefusal = errors.ConstError("the server refused in a way that does not say whether the request ran")
)

// configRetryAfter is when an entry VM that has just started probably has its
// configuration.
const configRetryAfter = 200 * time.Millisecond

// request is one caller's request while it is handled.
type request struct {
	front   *Front
	id      carobward.RequestID
	arrived time.Time
	// ip is the caller's IP number.
	ip string
	// deadline is when the final answer is due.
	deadline time.Time
	// callerWait is how long the caller still waits by its own timeout header, or zero.
	callerWait time.Duration
	// returned reports that the caller is probably retrying after a refusal.
	returned bool
	// held reports that the request was held during the start of this entry VM.
	held bool
	// origin is the entry VM that passed the request on, or "" if it came from the caller.
	// relayedTo is the one to which it was passed, relayTried reports that one was searched for.
	origin     carobward.VMID
	relayedTo  carobward.VMID
	relayTried bool
	// admitted reports that the request has passed the admission control.
	admitted bool
	// schedule decides when the request gets a server.
	schedule cwqueue.Schedule
	routes   *cwroutes.Table
	route    *cwroutes.Route
	// team is the caller's team, or nil if its route needs no key. Priority is that of the
	// team or the route.
	team     *carobward.Team
	priority int
	token    token
	service  carobward.Service
	state    *serviceState
	call     carobward.Call
	// body is that of the call, with the memory that it holds.
	body *body

	// possiblyRun reports that the request may have run at a server.
	possiblyRun bool
	// done is closed when the request has ended. Trial reports that this is the trial send
	// of a quarantined request.
	done  chan struct{}
	trial bool
	// retryClaim is the claim of the retry for which a server is searched, or nil.
	retryClaim *cwretry.Claim
	// sends counts the sends of the request, checks the health checks made for it.
	sends       int
	checks      int
	checkCounts checkCounts
	// connUnproven reports that the last search could make no health check, and that the new
	// connection that the request needs may break.
	connUnproven bool
	// roomNoted is set once it is known whether the request found room at first.
	roomNoted bool
	// availableAt is when the first server may get requests again, if warm-up, pauses or
	// rate limits bar them all now; otherwise zero.
	availableAt time.Time
	// server is the server that the request was last sent to.
	server carobward.Instance

	reply *carobward.Reply
	err   error
	// streamedFrom is the server whose reply is streamed to the caller.
	streamedFrom *cwbackend.Server
}

// checkCounts counts health checks by result: failed ones, those that were too late, answered
// ones, and of these those of servers without room (full) and of servers with room that were
// slow.
type checkCounts struct{ failed, late, answered, full, slow int }

// add adds the results of other health checks for the same request.
func (s *checkCounts) add(other checkCounts) {
	s.failed += other.failed
	s.late += other.late
	s.answered += other.answered
	s.full += other.full
	s.slow += other.slow
}

// newRequest parses a caller's request. Its err is set if the request is refused already.
func (f *Front) newRequest(ctx *fasthttp.RequestCtx, b *body, now time.Time) *request {
	h := &ctx.Request.Header
	field := func(name string) string { return string(h.Peek(name)) }
	r := &request{front: f, arrived: now, ip: ctx.RemoteIP().String(), id: f.Dialect.ID(field), body: b}

	if r.err = r.identify(ctx); r.err != nil {
		return r
	}

	left, ok, err := f.Dialect.TimeLeft(field)
	if err != nil {
		r.err = carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err)

		return r
	}

	r.callerWait = left
	r.service = r.route.Pick()
	r.state = f.serviceState(r.service)
	r.deadline = now.Add(r.route.Timeout)
	if ok && left < r.route.Timeout {
		r.deadline = now.Add(left)
	}

	r.setSchedule(ok)

	r.state.window.Request(f.Clock.Now())
	r.call = r.newCall(ctx)
	r.done = make(chan struct{})

	return r
}

// identify finds the route and the team of a request by the configuration in force. Right
// after the start it waits for what it lacks, if the request can be held.
func (r *request) identify(ctx *fasthttp.RequestCtx) error {
	if r.body.refusal != nil {
		return r.body.refusal
	}

	// Without servers a configuration still tells which requests have no route.
	if _, err := r.awaitStart(ctx, false, ErrNoConfig); err != nil && r.front.routes.Load() == nil {
		return err
	}

	err := r.findTeam(ctx)
	if !errors.Is(err, ErrStaleKeys) {
		return err
	}

	waited, refused := r.awaitStart(ctx, true, ErrStaleKeys)

	switch {
	case refused != nil:
		err = refused
	case waited: // Another configuration may be in force now.
		err = r.findTeam(ctx)
	}

	if errors.Is(err, ErrStaleKeys) {
		r.front.counts.Add(countStaleKeys, 1)
	}

	return err
}

// findTeam finds the route and the team of a request, or refuses it.
func (r *request) findTeam(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header

	r.routes = r.front.routes.Load()
	if r.routes == nil {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, configRetryAfter, ErrNoConfig)
	}

	if err := r.validate(); err != nil {
		return err
	}

	r.route = r.routes.Find(string(h.Host()), string(h.RequestURI()))
	if r.route == nil {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusNotFound, 0, ErrNoRoute)
	}

	return r.authorize(h, r.front.Clock.Now())
}

// setSchedule sets what decides when the request gets a server. Known is set if the caller
// stated how long it still waits. The answer is due by the arrival, but the search for a
// server begins only now, after the request may have been held.
func (r *request) setSchedule(known bool) {
	var age time.Duration

	if known {
		age = r.state.attemptAge(r.route.Name, r.callerWait)
	}

	r.returned = age > 0
	r.schedule = cwqueue.Schedule{
		Rank: r.priority, Arrived: r.front.Clock.Now(), Due: r.arrived.Add(r.route.Objective - age), Deadline: r.deadline,
		Objective: r.route.Objective, Usual: r.usualTime(), Slowdown: r.state.currentSlowdown(),
	}
}

// checkFrame refuses a request of another version, or one whose length a server could read differently.
func checkFrame(h *fasthttp.RequestHeader) error {
	if version := string(h.Protocol()); version != "HTTP/1.1" && version != "HTTP/1.0" {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusHTTPVersionNotSupported, 0, ErrVersion)
	}

	err := cwframe.Check(h.RawHeaders())
	if err == nil && !h.IsHTTP11() && len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		err = cwframe.ErrCoding
	}

	switch {
	case err == nil:
		return nil
	case errors.Is(err, cwframe.ErrCoding):
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusNotImplemented, 0, err)
	default:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, errors.Annotate(err, ErrAmbiguousHeader.Error()))
	}
}

// validate refuses a request that is too large or has no id.
func (r *request) validate() error {
	// The limit may be another one than when it was read.
	if most := r.routes.Limits.Body; most > 0 && carobward.ByteCount(r.body.Len()) > most {
		return tooLarge()
	}

	if r.id == "" {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrNoID)
	}

	return nil
}

// newCall returns the request in the form in which servers get it. It shares no memory
// with the HTTP library's buffers.
func (r *request) newCall(ctx *fasthttp.RequestCtx) carobward.Call {
	h := &ctx.Request.Header

	return carobward.Call{
		ID:     r.id,
		Method: string(h.Method()),
		URI:    string(h.RequestURI()),
		Host:   string(h.Host()),
		Header: cwframe.Copy(h.All(), r.forwards),
		Body:   r.body.Body,
		Team:   r.teamName(),

		Deadline: r.deadline,
		MaxReply: maxReplyBytes,
		Stream:   minStreamBytes,
		// HTTP/1.0 has no chunks.
		NeedsLength: !h.IsHTTP11(),
	}
}

// forwards reports whether servers get a header field of the request.
func (r *request) forwards(name []byte) bool {
	return !r.front.Dialect.Strips(string(name), r.routes.HasTeams()) && !strings.EqualFold(string(name), cwrelay.Header)
}

// maxReplyBytes bounds a reply's body.
const maxReplyBytes = 64 * carobward.Megabyte

// usualTime returns the usual response time of such requests.
func (r *request) usualTime() time.Duration { return r.state.responseTime(r.route.Objective) }

// expectedTime returns how long a server takes for the request.
func (r *request) expectedTime(c *candidate) time.Duration {
	return time.Duration(max(1, c.time) * float64(r.usualTime()))
}

// answer writes the request's result to the caller.
func (f *Front) answer(ctx *fasthttp.RequestCtx, r *request) {
	resp := &ctx.Response

	if r.err != nil {
		f.writeFailure(resp, r)
	} else {
		f.writeReply(resp, r)
	}

	took := f.Clock.Now().Sub(r.arrived)

	if r.origin != "" { // The entry VM that passed it on counts it among the callers' requests.
		resp.Header.Set(cwrelay.Header, r.relayedResult().Encode())
		f.counts.Add(countTaken, 1)
	} else {
		f.count(r, resp.StatusCode(), took)
	}

	f.logAnswer(r, resp.StatusCode(), took)
}

func (f *Front) writeReply(resp *fasthttp.Response, r *request) {
	resp.SetStatusCode(r.reply.Status)

	for i := range r.reply.Header {
		if h := &r.reply.Header[i]; !f.Dialect.Strips(h.Name, false) && !strings.EqualFold(h.Name, cwrelay.Header) {
			resp.Header.Add(h.Name, h.Value)
		}
	}

	f.Dialect.ReplyFields(r.id, resp.Header.Set)

	switch {
	case r.reply.Stream != nil:
		resp.SetBodyStream(f.stream(r), r.reply.Stream.Length)
	case r.reply.Release != nil:
		resp.SetBodyStream(newHeldBody(r.reply), len(r.reply.Body))
	default:
		resp.SetBodyRaw(r.reply.Body)
	}
}

func (f *Front) writeFailure(resp *fasthttp.Response, r *request) {
	failure := asFailure(r.err)
	resp.SetStatusCode(failure.Status)
	f.Dialect.ReplyFields(r.id, resp.Header.Set)
	f.Dialect.RetryAfter(failure.RetryAfter, resp.Header.Set)
	resp.SetBodyString(failure.Cause.Error() + "\n")
}

func isFailure(err error) bool {
	var failure *carobward.Failure

	return errors.As(err, &failure)
}

func asFailure(err error) *carobward.Failure {
	failure := &carobward.Failure{}
	if errors.As(err, &failure) {
		return failure
	}

	return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, err)
}

func (r *request) verdict() carobward.Verdict {
	if r.err != nil {
		return carobward.VerdictOf(r.err)
	}

	return carobward.Ran
}

func (f *Front) count(r *request, status int, took time.Duration) {
	name := carobward.TargetName("-")
	if r.route != nil {
		name = carobward.TargetName(r.route.Name)
	}

	f.Metrics.Requests().Target(name).Done(r.verdict(), status, took)
}

func (f *Front) logAnswer(r *request, status int, took time.Duration) {
	var (
		version carobward.Version
		route   carobward.RouteName
		cause   string
	)

	if r.routes != nil {
		version = r.routes.Version
	}

	if r.route != nil {
		route = r.route.Name
	}

	if r.err != nil {
		cause = r.err.Error()
	}

	f.Log.Info("Answered a request.", "id", r.id, "status", status, "verdict", r.verdict().String(), "took", took.Milliseconds(),
		"left", r.callerWait.Milliseconds(), "returned", r.returned, "route", route, "version", version, "team", r.teamName(), "service", r.service, "sends", r.sends, "looks", r.checks,
		"failed", r.checkCounts.failed, "late", r.checkCounts.late, "full", r.checkCounts.full, "slow", r.checkCounts.slow, "server", r.server, "origin", r.origin, "relayed", r.relayedTo, "cause", cause)
}
