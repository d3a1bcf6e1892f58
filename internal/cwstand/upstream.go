package cwstand

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// UpstreamWay is how an Upstream treats the requests that it gets.
type UpstreamWay uint8

// The ways of an Upstream.
const (
	// UpstreamServes runs each request and answers it.
	UpstreamServes UpstreamWay = iota
	// UpstreamSheds refuses each request and says that it did not run.
	UpstreamSheds
	// UpstreamResets runs each request and resets the connection.
	UpstreamResets
	// UpstreamSilent runs each request and never answers.
	UpstreamSilent
	// UpstreamFails runs each request and answers with status 500.
	UpstreamFails
	// UpstreamRefuses answers with status 503, and does not say whether the
	// request ran; it did.
	UpstreamRefuses
	// UpstreamCuts runs each request and ends its answer in the middle.
	UpstreamCuts
	// UpstreamUnsigned runs each request and leaves out the signature.
	UpstreamUnsigned
	// UpstreamRepeats answers each request twice.
	UpstreamRepeats
	// UpstreamUnframed ends its answers with the connection.
	UpstreamUnframed
)

// upstreamSlots is the number of slots that an Upstream claims.
const upstreamSlots = 4

// Run is one request that an Upstream ran.
type Run struct {
	ID     string
	Method string
	URI    string
	Body   string
	// Left is the time left that came with it, in milliseconds.
	Left string
	// Team is the team that came with it, Key what should never come: an API key.
	Team string
	Key  string
}

// Upstream is a stand-in for a backend server of the users' platform.
type Upstream struct {
	*acceptor

	instance carobward.Instance

	mutex sync.Mutex
	way   UpstreamWay
	work  time.Duration
	load  string
	// warm is until when it says that it is cold, zero: it says nothing.
	warm time.Time
	// limits are what it says of the requests a second that it takes; none: it says
	// nothing.
	limits []string
	// fields are header lines of all its answers.
	fields string
	// refusals has when each of the requests came that it refused.
	refusals []time.Time
	// slow is how long answers to health checks take.
	slow time.Duration
	// closing ends the connection of each health check.
	closing bool
	// body is what answers have.
	body string
	runs []Run
	// arrivals has when each of the runs began.
	arrivals []time.Time
	looks    int
	// broken counts the requests whose caller left before the answer.
	broken int
	// kills tells whether a request ends the server, ended is called then.
	kills func(Run) bool
	ended func()
	stop  chan struct{}
	once  sync.Once
}

// NewUpstream returns a server that serves on the listener until Close.
func NewUpstream(ln net.Listener, instance carobward.Instance) *Upstream {
	u := &Upstream{instance: instance, load: "0,0,4,100", body: "done", stop: make(chan struct{})}
	u.acceptor = accept(ln, u.serve)

	return u
}

// Set tells how requests are treated and how long they take.
func (u *Upstream) Set(way UpstreamWay, work time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.way, u.work = way, work
}

// SetLoad sets what it says of its load.
func (u *Upstream) SetLoad(load string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.load = load
}

// SetBody sets what answers have, "done" at first.
func (u *Upstream) SetBody(body string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.body = body
}

// SetKills sets which requests end the server: once one of them has been worked on,
// all connections are reset, nothing listens any more, and ended is called.
func (u *Upstream) SetKills(kills func(Run) bool, ended func()) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.kills, u.ended = kills, ended
}

// SetCold has its health check say for a time that it is cold, and from then on that it
// is not.
func (u *Upstream) SetCold(left time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.warm = time.Now().Add(left)
}

// SetLimit has its answers to requests name a limit, several, or none.
func (u *Upstream) SetLimit(limits ...string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.limits = limits
}

// SetFields has all its answers carry header lines, those to health checks among them.
func (u *Upstream) SetFields(lines ...string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.fields = ""
	for _, line := range lines {
		u.fields += line + "\r\n"
	}
}

// SetSlow sets how long its answers to health checks take.
func (u *Upstream) SetSlow(slow time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.slow = slow
}

// Refusals returns when each of the requests came that it refused.
func (u *Upstream) Refusals() []time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]time.Time(nil), u.refusals...)
}

// SetClosing sets whether it ends the connection of each health check.
func (u *Upstream) SetClosing(closing bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	u.closing = closing
}

// Runs returns the requests that it ran.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]Run(nil), u.runs...)
}

// Arrivals returns when each of the requests came that it ran.
func (u *Upstream) Arrivals() []time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return append([]time.Time(nil), u.arrivals...)
}

// Looks returns the number of health checks.
func (u *Upstream) Looks() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return u.looks
}

// Broken returns how many requests ended since their caller left.
func (u *Upstream) Broken() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return u.broken
}

// Close ends it. It may be called again.
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

// answer answers one request and tells whether the connection stays open.
func (u *Upstream) answer(c net.Conn, r *bufio.Reader, req *fasthttp.Request) bool {
	head := func(name string) string { return string(req.Header.Peek(name)) }

	if string(req.Header.RequestURI()) == "/health" {
		return u.look(c)
	}

	u.mutex.Lock()
	way, work, load, fields := u.way, u.work, u.load, u.fields
	u.mutex.Unlock()

	if expected := head("Expect-Instance"); expected != "" && expected != string(u.instance) {
		return say(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", u.instance, fields)
	}

	if way == UpstreamSheds {
		u.mutex.Lock()
		u.refusals = append(u.refusals, time.Now())
		u.mutex.Unlock()

		return say(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", fields)
	}

	run := Run{
		ID: head("Request-Id"), Method: string(req.Header.Method()), URI: string(req.Header.RequestURI()),
		Body: string(req.Body()), Left: head("Deadline-Ms"),
		Team: head("Tenant"), Key: head("Authorization"),
	}

	u.mutex.Lock()
	u.runs = append(u.runs, run)
	u.arrivals = append(u.arrivals, time.Now())
	kills := u.kills
	u.mutex.Unlock()

	if !u.wait(c, r, work) {
		return false
	}

	if kills != nil && kills(run) {
		u.crash()

		return false
	}

	return u.end(c, way, head("Request-Id"), load)
}

// crash ends the server as the end of its process does.
func (u *Upstream) crash() {
	u.mutex.Lock()
	ended := u.ended
	u.mutex.Unlock()

	// Whoever waits for the end of all connections can't be one of them.
	if u.reset() {
		go ended()
	}
}

// look answers a health check.
func (u *Upstream) look(c net.Conn) bool {
	u.mutex.Lock()
	u.looks++
	load, closing, warm, fields, slow := u.load, u.closing, u.warm, u.fields, u.slow
	u.mutex.Unlock()

	time.Sleep(slow)

	connection := "keep-alive"
	if closing {
		connection = "close"
	}

	cold := ""
	if !warm.IsZero() {
		cold = fmt.Sprintf("Warmup-Ms: %d\r\n", max(0, time.Until(warm).Milliseconds()))
	}

	good := say(c, "HTTP/1.1 200 OK\r\nConnection: %s\r\nInstance-Id: %s\r\nUpstream-Load: %s\r\n%s%sContent-Length: 0\r\n\r\n",
		connection, u.instance, load, cold, fields)

	return good && !closing
}

// wait works for a time, or until the caller leaves.
func (u *Upstream) wait(c net.Conn, r *bufio.Reader, work time.Duration) bool {
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
	u.broken++
	u.mutex.Unlock()

	return false
}

// end writes the answer to a request that ran.
func (u *Upstream) end(c net.Conn, way UpstreamWay, id, load string) bool {
	u.mutex.Lock()
	body, limits, fields := u.body, u.limits, u.fields
	u.mutex.Unlock()

	whole := fmt.Sprintf("Request-Id: %s\r\nResponse-Seal: s.%s\r\nUpstream-Load: %s\r\n%s", id, id, load, fields)
	for _, limit := range limits {
		whole += "Server-Limit: " + limit + "\r\n"
	}

	good := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", whole, len(body), body)

	switch way {
	case UpstreamResets:
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		return false
	case UpstreamSilent:
		<-u.stop

		return false
	case UpstreamFails:
		return say(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n", whole)
	case UpstreamRefuses:
		return say(c, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", whole)
	case UpstreamCuts:
		const missing = 96

		say(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", whole, len(body)+missing, body)

		return false
	case UpstreamUnsigned:
		return say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	case UpstreamRepeats:
		return say(c, "%s%s", good, good)
	case UpstreamUnframed:
		say(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", whole, body)

		return false
	default:
		return say(c, "%s", good)
	}
}

// say writes an answer and tells whether that went well.
func say(c net.Conn, format string, values ...any) bool {
	_, err := fmt.Fprintf(c, format, values...)

	return err == nil
}
