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

// The paths that do not count as work.
const (
	// HealthPath answers with status 200, or 503 while draining. Its requests are
	// counted as health checks.
	HealthPath = "/healthz"
	// CountsPath answers with Counts as JSON.
	CountsPath = "/stand/counts"
)

// ServerOptions configure a server. A field's zero value turns its behaviour off,
// except for Slots, which must be set.
type ServerOptions struct {
	// Slots is the number of requests that run concurrently. Others are queued.
	Slots int
	// Work is the mean service time of a request.
	Work time.Duration
	// Spread is the sigma of the lognormal service time. With zero, all requests
	// take the mean.
	Spread float64
	// MaxQueue is the maximum number of queued requests. More are shed. Zero means
	// no limit.
	MaxQueue int
	// OpenDelay is the time that a new connection takes to open, MaxConns the
	// maximum number of open connections. Zero means no limit.
	OpenDelay time.Duration
	MaxConns  int
	// Speed is the server's speed over time, relative to Epoch.
	Speed *Speed
	// Epoch is the start of the speed schedule. Zero means the server's start.
	Epoch time.Time
	// SpeedPeriod is the time after which the speed schedule starts again. Zero
	// means never.
	SpeedPeriod time.Duration
	// Delay is the one-way network latency between the server and its callers.
	Delay time.Duration
	// ReportLag and ReportLie make the load reports stale or wrong.
	ReportLag time.Duration
	ReportLie Lie
	// ReportOnRequest limits load reports to the replies to requests that ask for
	// one. While the server drains, all replies have one.
	ReportOnRequest bool
	// Run is the number of the server's process in its reports. Reports omit 0.
	Run uint64
	// HealthLag is the time for which the health endpoint still answers with
	// status 200 while draining.
	HealthLag time.Duration
	// Ledger detects work that begins more than once, also on different servers.
	Ledger *Ledger
}

// Server is a stand-in for a backend server. It simulates the work of each
// request, answers with the request's method, URI and body, reports its load, and
// counts what it did.
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
	counted := &listener{Listener: ln, openDelay: o.OpenDelay, maxConns: int64(o.MaxConns), counts: &s.counters}

	go func() { _ = s.server.Serve(counted) }()

	return s
}

// Address returns the address on which the server listens.
func (s *Server) Address() carobward.Address { return carobward.Address(s.ln.Addr().String()) }

// Ran returns the number of requests that completed.
func (s *Server) Ran() int64 { return s.counters.ran.Load() }

// Counts returns the server's counters.
func (s *Server) Counts() Counts { return s.counters.counts() }

// Waiting returns the number of queued requests.
func (s *Server) Waiting() int64 { return s.queued.Load() }

// Running returns the number of running requests.
func (s *Server) Running() int64 { return int64(len(s.slots)) }

// Rate returns the server's current speed, 1 for full speed.
func (s *Server) Rate() float64 { return s.options.Speed.Rate(s.scheduleTime(time.Now())) }

// Drain makes the server shed all new work and report that it drains.
func (s *Server) Drain() { s.drained.CompareAndSwap(0, time.Now().UnixNano()) }

// SetFailing sets whether the server fails all work at once with status 500.
func (s *Server) SetFailing(on bool) { s.failing.Store(on) }

// Close closes the listener.
func (s *Server) Close() { _ = s.ln.Close() }

// Shutdown stops the server after the requests in flight have completed.
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

	if !s.acquireSlot(ctx) {
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

// acquireSlot waits for a slot. It returns false if the request is shed: while
// draining, with a full queue, after the request's timeout, or if its sender has
// disconnected.
func (s *Server) acquireSlot(ctx *fasthttp.RequestCtx) bool {
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

	if maxQueue := int64(s.options.MaxQueue); maxQueue > 0 && waiting > maxQueue {
		return false
	}

	timeout := time.NewTimer(timeLeft(ctx))
	defer timeout.Stop()

	select {
	case s.slots <- struct{}{}:
	case <-timeout.C:
		return false
	}

	if disconnected(ctx) {
		<-s.slots

		return false
	}

	return true
}

// cancelPoll is the interval at which running work checks whether its sender has
// disconnected.
const cancelPoll = 5 * time.Millisecond

// run simulates the work of a request that holds a slot. It returns false if the
// sender disconnected before the end.
func (s *Server) run(ctx *fasthttp.RequestCtx) bool {
	s.counters.began.Add(1)

	id := string(ctx.Request.Header.Peek(carobward.HeaderID))
	if l := s.options.Ledger; l != nil && l.Begin(id) > 1 {
		s.counters.repeats.Add(1)
	}

	start := time.Now()
	workDuration := s.workDuration(start, id)

	for {
		left := workDuration - time.Since(start)
		if left <= 0 {
			return true
		}

		time.Sleep(min(left, cancelPoll))

		if disconnected(ctx) {
			return false
		}
	}
}

// scheduleTime converts a time to a time in the speed schedule.
func (s *Server) scheduleTime(now time.Time) time.Duration {
	at := now.Sub(s.options.Epoch)
	if s.options.SpeedPeriod > 0 {
		at %= s.options.SpeedPeriod
	}

	return at
}

// workDuration returns how long the work of a request takes if it starts now.
func (s *Server) workDuration(now time.Time, id string) time.Duration {
	at := s.scheduleTime(now)
	end := s.options.Speed.Finish(at, s.options.workAmount(id))
	if end == Forever {
		return Forever
	}

	return end - at
}

// workAmount returns the amount of work of a request. The randomness is seeded with
// the request's ID, so that the amount is the same on each server, in each
// attempt and in each run.
func (o *ServerOptions) workAmount(id string) time.Duration {
	if o.Spread == 0 {
		return o.Work
	}

	work, _, _ := strings.Cut(id, attemptSeparator)
	h := fnv.New64a()
	_, _ = h.Write([]byte(work))

	return Lognormal(o.Work, o.Spread, rand.New(rand.NewPCG(h.Sum64(), 0)))
}

// Lognormal returns a random time from the lognormal distribution with the given
// mean and sigma.
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
	if s.options.ReportOnRequest && len(asked) == 0 && s.drained.Load() == 0 {
		return
	}

	bytes := len(carobward.HeaderReport) + len(s.report(ctx)) + separators
	if len(asked) > 0 {
		bytes += len(carobward.HeaderAsk) + len(asked) + separators
	}

	s.counters.reportBytes.Add(int64(bytes))
}

// maxSlotWait is the longest time that a request without a timeout waits for a slot.
const maxSlotWait = time.Minute

func timeLeft(ctx *fasthttp.RequestCtx) time.Duration {
	text := strings.Clone(string(ctx.Request.Header.Peek(carobward.HeaderTimeout)))

	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return maxSlotWait
	}

	return time.Duration(n) * time.Millisecond
}

func disconnected(ctx *fasthttp.RequestCtx) bool {
	c, ok := ctx.Conn().(*serverConn)

	return ok && c.peerClosed()
}
