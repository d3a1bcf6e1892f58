package cwstand

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// UpstreamMode selects how an Upstream handles requests.
type UpstreamMode uint8

// The modes of an Upstream.
const (
	// UpstreamServes runs each request and answers with status 200.
	UpstreamServes UpstreamMode = iota
	// UpstreamSheds refuses each request with a reply that states that it did not
	// run.
	UpstreamSheds
	// UpstreamResets runs each request and resets the connection.
	UpstreamResets
	// UpstreamSilent runs each request and never answers.
	UpstreamSilent
	// UpstreamFails runs each request and answers with status 500.
	UpstreamFails
	// UpstreamRefuses runs each request and answers with status 503, without
	// stating whether the request ran.
	UpstreamRefuses
	// UpstreamTruncates runs each request and closes the connection before the end of
	// the reply.
	UpstreamTruncates
	// UpstreamUnsigned runs each request and answers without the signature.
	UpstreamUnsigned
	// UpstreamRepeats runs each request and sends the reply twice.
	UpstreamRepeats
	// UpstreamUnframed runs each request and answers without a length: the reply
	// ends when the connection is closed.
	UpstreamUnframed
	// upstreamTimesOut ends the work at the time limit and answers with status 504.
	upstreamTimesOut
)

// upstreamSlots is the number of slots in a server's entry in the store.
const upstreamSlots = 4

// Run is a request that an Upstream ran.
type Run struct {
	ID     string
	Method string
	URI    string
	Body   string
	// TimeLeft is the request's Deadline-Ms header: the time left, in milliseconds.
	TimeLeft string
	// Team is the request's Tenant header, Key its Authorization header. The API key
	// in the latter should never reach a server.
	Team string
	Key  string
}

// limit returns the time limit of a request, or the largest time if it has none.
func (r *Run) limit() time.Duration {
	ms, err := strconv.ParseInt(r.TimeLeft, 10, 64)
	if err != nil {
		return math.MaxInt64
	}

	return time.Duration(ms) * time.Millisecond
}

// Received is a request that arrived at an Upstream, and whether it was refused.
type Received struct {
	ID      string
	At      time.Time
	Refused bool
}

// Upstream is a stand-in for a backend server of the users' platform.
type Upstream struct {
	*acceptor

	instance carobward.Instance

	mutex sync.Mutex
	mode  UpstreamMode
	work  time.Duration
	// workOf is the time that the work of each request takes, if it differs; see SetWorkOf.
	workOf func(Run) time.Duration
	// replyOf is the reply to each request that ran, if they differ; see SetReplyOf.
	replyOf func(Run) Reply
	// shed is the share of the requests that the server refuses in any mode.
	shed float64
	load string
	// warmUntil is the time at which the reported warmup ends. If it is zero, no warmup is
	// reported.
	warmUntil time.Time
	// limits are the rate limits that replies announce, in requests per second.
	limits []string
	// fields are header lines added to all replies.
	fields string
	// received has the requests that arrived, apart from those for another instance.
	received []Received
	// healthDelay is the delay of replies to health checks.
	healthDelay time.Duration
	// closeOnHealth makes the server close the connection after each health check.
	closeOnHealth bool
	// body is the body of replies to requests that ran.
	body string
	runs []Run
	// arrivals has the start time of each run.
	arrivals     []time.Time
	healthChecks int
	// disconnects counts the requests whose sender disconnected before the reply.
	disconnects int
	// crashesOn reports whether a request crashes the server. On a crash, onCrash
	// is called.
	crashesOn func(Run) bool
	onCrash   func()
	stop      chan struct{}
	once      sync.Once
}

// NewUpstream returns a server that accepts connections from the listener until
// Close.
func NewUpstream(ln net.Listener, instance carobward.Instance) *Upstream {
	u := &Upstream{instance: instance, load: "0,0,4,100", body: "done", stop: make(chan struct{})}
	u.acceptor = accept(ln, u.serve)

	return u
}

// Close stops the server. It may be called more than once.
func (u *Upstream) Close() {
	u.once.Do(func() { close(u.stop) })
	u.acceptor.Close()
}

func (u *Upstream) serve(c net.Conn) {
	r := bufio.NewReader(c)

	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}

		if !u.answer(c, r, &req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (u *Upstream) answer(c net.Conn, r *bufio.Reader, req *fasthttp.Request) bool {
	header := func(name string) string { return string(req.Header.Peek(name)) }

	if string(req.Header.RequestURI()) == "/health" {
		return u.answerHealth(c)
	}

	u.mutex.Lock()
	mode, work, load, fields, shed := u.mode, u.work, u.load, u.fields, u.shed
	u.mutex.Unlock()

	id := header("Request-Id")

	if expected := header("Expect-Instance"); expected != "" && expected != string(u.instance) {
		return writeReply(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, u.instance, fields)
	}

	refused := mode == UpstreamSheds || rand.Float64() < shed

	u.mutex.Lock()
	u.received = append(u.received, Received{ID: id, At: time.Now(), Refused: refused})
	u.mutex.Unlock()

	if refused {
		return writeReply(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, fields)
	}

	run := Run{
		ID: id, Method: string(req.Header.Method()), URI: string(req.Header.RequestURI()),
		Body: string(req.Body()), TimeLeft: header("Deadline-Ms"),
		Team: header("Tenant"), Key: header("Authorization"),
	}

	u.mutex.Lock()
	u.runs = append(u.runs, run)
	u.arrivals = append(u.arrivals, time.Now())
	crashesOn, workOf := u.crashesOn, u.workOf
	u.mutex.Unlock()

	if workOf != nil {
		work = workOf(run)
		if limit := run.limit(); work > limit {
			work, mode = limit, upstreamTimesOut
		}
	}

	if !u.simulateWork(c, r, work) {
		return false
	}

	if crashesOn != nil && crashesOn(run) {
		u.crash()

		return false
	}

	return u.answerRun(c, mode, run, load)
}

// crash simulates a crash of the server's process.
func (u *Upstream) crash() {
	u.mutex.Lock()
	onCrash := u.onCrash
	u.mutex.Unlock()

	// The callback may wait for all connections to end, so it must not run in the
	// goroutine of a connection.
	if u.reset() {
		go onCrash()
	}
}

// answerHealth answers a health check.
func (u *Upstream) answerHealth(c net.Conn) bool {
	u.mutex.Lock()
	u.healthChecks++
	load, closeOnHealth, warmUntil, fields, healthDelay := u.load, u.closeOnHealth, u.warmUntil, u.fields, u.healthDelay
	u.mutex.Unlock()

	time.Sleep(healthDelay)

	connection := "keep-alive"
	if closeOnHealth {
		connection = "close"
	}

	warmup := ""
	if !warmUntil.IsZero() {
		warmup = fmt.Sprintf("Warmup-Ms: %d\r\n", max(0, time.Until(warmUntil).Milliseconds()))
	}

	ok := writeReply(c, "HTTP/1.1 200 OK\r\nConnection: %s\r\nInstance-Id: %s\r\nUpstream-Load: %s\r\n%s%sContent-Length: 0\r\n\r\n",
		connection, u.instance, load, warmup, fields)

	return ok && !closeOnHealth
}

// simulateWork simulates the work of a request. It returns false if the sender disconnects
// before the end.
func (u *Upstream) simulateWork(c net.Conn, r *bufio.Reader, work time.Duration) bool {
	if work == 0 {
		return true
	}

	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})

	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}

	u.mutex.Lock()
	u.disconnects++
	u.mutex.Unlock()

	return false
}

// failures are the statuses of the replies of modes that fail requests.
var failures = map[UpstreamMode]string{
	UpstreamFails: "500 Internal Server Error", UpstreamRefuses: "503 Service Unavailable", upstreamTimesOut: "504 Gateway Timeout",
}

// answerRun writes the reply to a request that ran, and reports whether the connection stays
// open.
func (u *Upstream) answerRun(c net.Conn, mode UpstreamMode, run Run, load string) bool {
	u.mutex.Lock()
	body, limits, fields, replyOf := u.body, u.limits, u.fields, u.replyOf
	u.mutex.Unlock()

	headers := fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: s.%s\r\nUpstream-Load: %s\r\n%s", run.ID, run.ID, load, fields)
	for _, limit := range limits {
		headers += "Server-Limit: " + limit + "\r\n"
	}

	if status := failures[mode]; status != "" {
		return writeReply(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers)
	}

	reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)

	switch mode {
	case UpstreamResets:
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		return false
	case UpstreamSilent:
		<-u.stop

		return false
	case UpstreamTruncates:
		const missing = 96

		writeReply(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body)+missing, body)

		return false
	case UpstreamUnsigned:
		return writeReply(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", run.ID, len(body), body)
	case UpstreamRepeats:
		return writeReply(c, "%s%s", reply, reply)
	case UpstreamUnframed:
		writeReply(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", headers, body)

		return false
	default:
		if replyOf != nil {
			r := replyOf(run)

			return r.write(c, headers)
		}

		return writeReply(c, "%s", reply)
	}
}

// writeReply writes a formatted reply and reports whether the write succeeded.
func writeReply(c net.Conn, format string, values ...any) bool {
	_, err := fmt.Fprintf(c, format, values...)

	return err == nil
}
