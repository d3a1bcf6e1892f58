package cwfront

import (
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwroutes"
	"carobward.example/carobward/internal/cwturn"
)

// The causes of a request's failure here.
const (
	ErrStarting    = errors.ConstError("this entry VM has no configuration yet")
	ErrNoRoute     = errors.ConstError("no route has this host and path")
	ErrFrame       = errors.ConstError("the request's header could be understood in two ways")
	ErrBody        = errors.ConstError("the request's body is larger than the operator allows")
	ErrID          = errors.ConstError("the request has no id")
	ErrFull        = errors.ConstError("no server has room now")
	ErrShed        = errors.ConstError("the server refused it, and no further send is allowed")
	ErrNone        = errors.ConstError("no server of the service is known")
	ErrEvacuated   = errors.ConstError("all servers of the service are in failure domains that the operators have evacuated")
	ErrLimits      = errors.ConstError("no server may get a request now: those known are cold, want a pause, or their limits are used up")
	ErrHomes       = errors.ConstError("no server of the service may be used in the regions to which the route's requests may go")
	ErrGone        = errors.ConstError("the caller has gone")
	ErrLate        = errors.ConstError("the time was over")
	ErrBegun       = errors.ConstError("a server refused it, but an earlier send may have run")
	ErrQuarantined = errors.ConstError("servers ended under this request, it is not sent again for now")
	ErrKey         = errors.ConstError("the request shows no key that is in force")
	ErrKeysOld     = errors.ConstError("this entry VM has not heard lately which keys are in force")
	ErrDoubt       = errors.ConstError("the server refused in a way that does not say whether the request ran")
)

// startAfter is when a newcomer probably has its configuration.
const startAfter = 200 * time.Millisecond

// request is one caller's request on its way.
type request struct {
	front   *Front
	id      carobward.RequestID
	arrived time.Time
	// ip is the caller's IP number.
	ip string
	// deadline is when the final answer is due.
	deadline time.Time
	// left is how long the caller said that it still waits, or zero.
	left time.Duration
	// returned tells that the caller has probably come back after a refusal.
	returned bool
	// turn is what decides who gets a server first.
	turn   cwturn.Turn
	routes *cwroutes.Table
	route  *cwroutes.Route
	// team is that of the caller, nil where its route needs no key; priority is that of
	// the team or the route.
	team     *carobward.Team
	priority int
	service  carobward.Service
	kept     *service
	call     carobward.Call

	// begun tells that the request may have run at a server.
	begun bool
	// over is closed once the request has ended, trial tells that it is the one send
	// of a quarantined request.
	over  chan struct{}
	trial bool
	// sends counts the servers that the request was handed to, looks the
	// health checks made for it.
	sends int
	looks int
	seen  seen
	// opens is when the first of the servers may get a request, where none of them may
	// now for what it bears; else zero.
	opens time.Time
	// server is the last server that it was handed to.
	server carobward.Instance

	reply *carobward.Reply
	err   error
	// passed is the server whose reply is passed on as it comes.
	passed *cwbackend.Server
}

// seen counts what looks at servers showed: those that did not answer, or too
// late, those without room, and those with room that were slow.
type seen struct{ failed, late, full, slow int }

// add adds what other looks for the same request showed.
func (s *seen) add(other seen) {
	s.failed += other.failed
	s.late += other.late
	s.full += other.full
	s.slow += other.slow
}

// request reads a caller's request. Its err is set where it ends here.
func (f *Front) request(ctx *fasthttp.RequestCtx, now time.Time) *request {
	h := &ctx.Request.Header
	field := func(name string) string { return string(h.Peek(name)) }
	r := &request{front: f, arrived: now, ip: ctx.RemoteIP().String(), id: f.Dialect.ID(field), routes: f.routes.Load()}

	if r.routes == nil {
		r.err = carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, startAfter, ErrStarting)

		return r
	}

	if r.err = r.check(ctx); r.err != nil {
		return r
	}

	r.route = r.routes.Find(string(h.Host()), string(h.RequestURI()))
	if r.route == nil {
		r.err = carobward.NewFailure(carobward.NotRun, fasthttp.StatusNotFound, 0, ErrNoRoute)

		return r
	}

	if r.err = r.authorize(h, now); r.err != nil {
		return r
	}

	left, ok, err := f.Dialect.Left(field)
	if err != nil {
		r.err = carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err)

		return r
	}

	r.left = left
	r.service = r.route.Pick()
	r.kept = f.service(r.service)
	r.deadline = now.Add(r.route.Timeout)
	if ok && left < r.route.Timeout {
		r.deadline = now.Add(left)
	}

	r.setTurn(now, ok)

	r.kept.window.Request(now)
	r.call = r.newCall(ctx)
	r.over = make(chan struct{})

	return r
}

// setTurn fills in what decides when the request gets a server. Known tells that
// the caller said how long it still waits.
func (r *request) setTurn(now time.Time, known bool) {
	var age time.Duration

	if known {
		age = r.kept.age(r.route.Name, r.left)
	}

	r.returned = age > 0
	r.turn = cwturn.Turn{
		Rank: r.priority, Arrived: now, Due: now.Add(r.route.Objective - age), Deadline: r.deadline,
		Objective: r.route.Objective, Usual: r.usual(), Pace: r.kept.pace(),
	}
}

// check refuses a request that is too large, or that a server could understand
// differently.
func (r *request) check(ctx *fasthttp.RequestCtx) error {
	if err := cwframe.Check(ctx.Request.Header.RawHeaders()); err != nil {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, errors.Annotate(err, ErrFrame.Error()))
	}

	if most := r.routes.Limits.Body; most > 0 && carobward.ByteCount(len(ctx.Request.Body())) > most {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBody)
	}

	if r.id == "" {
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrID)
	}

	return nil
}

// newCall returns the request as it goes to a server. Nothing in it refers to
// the library's buffers.
func (r *request) newCall(ctx *fasthttp.RequestCtx) carobward.Call {
	h := &ctx.Request.Header

	return carobward.Call{
		ID:     r.id,
		Method: string(h.Method()),
		URI:    string(h.RequestURI()),
		Host:   string(h.Host()),
		Header: cwframe.Copy(h.All(), func(name []byte) bool { return !r.front.Dialect.Hides(string(name), r.routes.HasTeams()) }),
		Body:   append([]byte(nil), ctx.Request.Body()...),
		Team:   r.teamName(),

		Deadline: r.deadline,
		MaxReply: replyMost,
		Stream:   streamLeast,
	}
}

// replyMost bounds a reply's body.
const replyMost = 64 * carobward.Megabyte

// usual returns the usual time of an answer to such a request.
func (r *request) usual() time.Duration { return r.kept.time(r.route.Objective) }

// answer writes the request's end to the caller.
func (f *Front) answer(ctx *fasthttp.RequestCtx, r *request) {
	resp := &ctx.Response

	if r.err != nil {
		f.writeFailure(resp, r)
	} else {
		f.writeReply(resp, r)
	}

	took := f.Clock.Now().Sub(r.arrived)
	f.count(r, resp.StatusCode(), took)
	f.logAnswer(r, resp.StatusCode(), took)
}

func (f *Front) writeReply(resp *fasthttp.Response, r *request) {
	resp.SetStatusCode(r.reply.Status)

	for i := range r.reply.Header {
		if h := &r.reply.Header[i]; !f.Dialect.Hides(h.Name, false) {
			resp.Header.Add(h.Name, h.Value)
		}
	}

	f.Dialect.Answer(r.id, resp.Header.Set)

	if r.reply.Stream != nil {
		resp.SetBodyStream(f.pass(r), r.reply.Stream.Length)
	} else {
		resp.SetBodyRaw(r.reply.Body)
	}
}

func (f *Front) writeFailure(resp *fasthttp.Response, r *request) {
	failure := asFailure(r.err)
	resp.SetStatusCode(failure.Status)
	f.Dialect.Answer(r.id, resp.Header.Set)
	f.Dialect.RetryAfter(failure.RetryAfter, resp.Header.Set)
	resp.SetBodyString(failure.Cause.Error() + "\n")
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

	f.Log.Info("Answered.", "id", r.id, "status", status, "verdict", r.verdict().String(), "took", took.Milliseconds(),
		"left", r.left.Milliseconds(), "returned", r.returned, "route", route, "version", version, "team", r.teamName(), "service", r.service, "sends", r.sends, "looks", r.looks,
		"failed", r.seen.failed, "late", r.seen.late, "full", r.seen.full, "slow", r.seen.slow, "server", r.server, "cause", cause)
}
