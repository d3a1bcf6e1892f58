package cwstand

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The paths that are no work.
const (
	// HealthPath answers 200, or 503 while draining; it counts as measuring.
	HealthPath = "/healthz"
	// CountsPath answers with Counts as JSON.
	CountsPath = "/stand/counts"
)

// ServerOptions describe a server. The zero value of each field but
// Slots leaves its behaviour out.
type ServerOptions struct {
	// Slots is how many requests run at once; others wait.
	Slots int
	// Work is the mean time that one request takes.
	Work time.Duration
	// Spread is the sigma of the lognormal time; zero: all take the mean.
	Spread float64
	// Queue bounds the waiting requests; more are shed. Zero: no bound.
	Queue int
	// Open is what a new connection costs, Conns how many may be open.
	Open  time.Duration
	Conns int
	// Speed slows the work down over time, counted from Epoch.
	Speed *Speed
	// Epoch is the start of the schedule; zero is the server's start.
	Epoch time.Time
	// Repeat starts the schedule again after that time; zero: never.
	Repeat time.Duration
	// Delay is a one-way delay between the server and its callers.
	Delay time.Duration
	// ReportLag and ReportLie make the reports stale or misleading.
	ReportLag time.Duration
	ReportLie Lie
	// Asked has reports go only with replies to requests that ask for one, and
	// with all while draining.
	Asked bool
	// Run numbers the server's runs in its reports; 0 leaves it out.
	Run uint64
	// HealthLag is how long the health endpoint hides a drain.
	HealthLag time.Duration
	// Ledger finds work that begins twice, on whichever server.
	Ledger *Ledger
}

// Server is a stand-in for a server: it answers each request with
// its method, path and body after the work, reports its load, and counts.
type Server struct {
	options  ServerOptions
	slots    chan struct{}
	queued   atomic.Int64
	counters counters
	failing  atomic.Bool
	drained  atomic.Int64

	mutex    sync.Mutex
	reporter Reporter

	server *fasthttp.Server
	ln     net.Listener
}

// NewServer returns a server that serves on the listener.
func NewServer(ln net.Listener, o ServerOptions) *Server {
	if o.Epoch.IsZero() {
		o.Epoch = time.Now()
	}

	if o.Speed == nil {
		o.Speed = NewSpeed(nil)
	}

	s := &Server{options: o, slots: make(chan struct{}, o.Slots), ln: ln}
	s.reporter = Reporter{Lag: o.ReportLag, Lie: o.ReportLie}
	s.server = &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true}
	counted := &listener{Listener: ln, open: o.Open, most: int64(o.Conns), counts: &s.counters}

	go func() { _ = s.server.Serve(counted) }()

	return s
}

// Address is where the server serves.
func (s *Server) Address() carobward.Address { return carobward.Address(s.ln.Addr().String()) }

// Ran returns the number of requests that ran.
func (s *Server) Ran() int64 { return s.counters.ran.Load() }

// Counts returns what the server has counted so far.
func (s *Server) Counts() Counts { return s.counters.counts() }

// Waiting returns the number of requests that wait for a slot.
func (s *Server) Waiting() int64 { return s.queued.Load() }

// Running returns the number of requests that hold a slot.
func (s *Server) Running() int64 { return int64(len(s.slots)) }

// Rate is the server's speed now; 1 is full speed.
func (s *Server) Rate() float64 { return s.options.Speed.Rate(s.at(time.Now())) }

// Drain makes the server shed all new work and say so in its reports.
func (s *Server) Drain() { s.drained.CompareAndSwap(0, time.Now().UnixNano()) }

// SetFailing makes the server fail each request at once, or ends that.
func (s *Server) SetFailing(on bool) { s.failing.Store(on) }

// Close stops serving.
func (s *Server) Close() { _ = s.ln.Close() }

// Shutdown stops serving once the requests in flight have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(carobward.HeaderID, ctx.Request.Header.Peek(carobward.HeaderID))

	switch string(ctx.Path()) {
	case HealthPath:
		s.health(ctx)
	case CountsPath:
		s.count(ctx)
	default:
		time.Sleep(s.options.Delay)
		s.work(ctx)
		time.Sleep(s.options.Delay)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if at := s.drained.Load(); at != 0 && time.Since(time.Unix(0, at)) >= s.options.HealthLag {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}

	s.report(ctx)
	s.counters.probes.Add(1)
	s.counters.probeBytes.Add(int64(len(ctx.Request.Header.Header()) + len(ctx.Response.Header.Header())))
}

func (s *Server) count(ctx *fasthttp.RequestCtx) {
	raw, err := json.Marshal(s.Counts())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func (s *Server) work(ctx *fasthttp.RequestCtx) {
	defer s.reportOnReply(ctx)

	if s.failing.Load() {
		s.counters.failed.Add(1)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}

	if !s.enter(ctx) {
		s.counters.shed.Add(1)
		ctx.Response.Header.Set(carobward.HeaderVerdict, carobward.NotRun.String())
		ctx.Response.Header.Set(carobward.HeaderRetryAfter, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

		return
	}

	defer func() { <-s.slots }()

	if !s.run(ctx) {
		s.counters.cancelled.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

		return
	}

	s.counters.ran.Add(1)
	_, _ = fmt.Fprintf(ctx, "%s %s\n%s", ctx.Method(), ctx.RequestURI(), ctx.PostBody())
}

// enter waits for a slot. It returns false if the request is shed: while
// draining, with a full queue, or when its time or its sender has gone.
func (s *Server) enter(ctx *fasthttp.RequestCtx) bool {
	if s.drained.Load() != 0 {
		return false
	}

	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}

	waiting := s.queued.Add(1)
	defer s.queued.Add(-1)

	if most := int64(s.options.Queue); most > 0 && waiting > most {
		return false
	}

	timeout := time.NewTimer(timeLeft(ctx))
	defer timeout.Stop()

	select {
	case s.slots <- struct{}{}:
	case <-timeout.C:
		return false
	}

	if gone(ctx) {
		<-s.slots

		return false
	}

	return true
}

// cancelPoll is how often running work looks whether its sender is gone.
const cancelPoll = 5 * time.Millisecond

// run does the work in a slot. It returns false if it was cancelled.
func (s *Server) run(ctx *fasthttp.RequestCtx) bool {
	s.counters.began.Add(1)

	id := string(ctx.Request.Header.Peek(carobward.HeaderID))
	if l := s.options.Ledger; l != nil && l.Begin(id) > 1 {
		s.counters.repeats.Add(1)
	}

	start := time.Now()
	takes := s.takes(start, id)

	for {
		left := takes - time.Since(start)
		if left <= 0 {
			return true
		}

		time.Sleep(min(left, cancelPoll))

		if gone(ctx) {
			return false
		}
	}
}

// at is the place of a time in the schedule.
func (s *Server) at(now time.Time) time.Duration {
	at := now.Sub(s.options.Epoch)
	if s.options.Repeat > 0 {
		at %= s.options.Repeat
	}

	return at
}

// takes is how long the work of a request takes that starts now.
func (s *Server) takes(now time.Time, id string) time.Duration {
	at := s.at(now)
	end := s.options.Speed.Finish(at, s.options.workOf(id))
	if end == Forever {
		return Forever
	}

	return end - at
}

// workOf draws the time of a request from its id, so that it takes as long
// on each server, in each attempt and in each run.
func (o *ServerOptions) workOf(id string) time.Duration {
	if o.Spread == 0 {
		return o.Work
	}

	work, _, _ := strings.Cut(id, attemptMark)
	h := fnv.New64a()
	_, _ = h.Write([]byte(work))

	return Lognormal(o.Work, o.Spread, rand.New(rand.NewPCG(h.Sum64(), 0)))
}

// Lognormal draws a time with the given mean and sigma.
func Lognormal(mean time.Duration, sigma float64, rng *rand.Rand) time.Duration {
	const half = 0.5

	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-half*sigma*sigma))
}

func (s *Server) report(ctx *fasthttp.RequestCtx) string {
	l := Load{
		Slots: s.options.Slots, Running: len(s.slots), Queued: int(s.queued.Load()),
		Draining: s.drained.Load() != 0, Run: s.options.Run,
	}

	s.mutex.Lock()
	l = s.reporter.Report(time.Since(s.options.Epoch), l)
	s.mutex.Unlock()

	text := l.String()
	ctx.Response.Header.Set(carobward.HeaderReport, text)

	return text
}

func (s *Server) reportOnReply(ctx *fasthttp.RequestCtx) {
	const separators = len(": \r\n")

	asked := ctx.Request.Header.Peek(carobward.HeaderAsk)
	if s.options.Asked && len(asked) == 0 && s.drained.Load() == 0 {
		return
	}

	bytes := len(carobward.HeaderReport) + len(s.report(ctx)) + separators
	if len(asked) > 0 {
		bytes += len(carobward.HeaderAsk) + len(asked) + separators
	}

	s.counters.reportBytes.Add(int64(bytes))
}

// waitMost is how long a request without a timeout waits for a slot.
const waitMost = time.Minute

func timeLeft(ctx *fasthttp.RequestCtx) time.Duration {
	text := strings.Clone(string(ctx.Request.Header.Peek(carobward.HeaderTimeout)))

	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return waitMost
	}

	return time.Duration(n) * time.Millisecond
}

func gone(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*serverConn)

	return ok && c.left()
}
