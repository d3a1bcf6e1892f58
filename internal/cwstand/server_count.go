package cwstand

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
)

// Counts are the counters of a stand-in server. The cost of health checks and load
// reports is counted here rather than at the entry VMs, so that no call is missed.
type Counts struct {
	// Began and Ran count the calls that got a slot and those that completed.
	Began, Ran int64
	// Repeats counts the calls whose work had already begun, on this server or
	// on another one that shares its ledger.
	Repeats int64
	// Shed, Failed and Cancelled count the calls that were refused, that failed
	// at once, and whose sender disconnected before they completed.
	Shed, Failed, Cancelled int64
	// Opened counts the connections accepted, Refused those over the limit.
	Opened, Refused int64
	// Probes counts the health checks, ProbeBytes their header bytes in both
	// directions.
	Probes, ProbeBytes int64
	// ReportBytes counts the bytes of load reports on replies to requests and of
	// the headers that asked for them.
	ReportBytes int64
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts { return c.plus(d, 1) }

// Sub returns the difference from an earlier count.
func (c Counts) Sub(earlier Counts) Counts { return c.plus(earlier, -1) }

func (c Counts) plus(d Counts, sign int64) Counts {
	return Counts{
		Began: c.Began + sign*d.Began, Ran: c.Ran + sign*d.Ran, Repeats: c.Repeats + sign*d.Repeats,
		Shed: c.Shed + sign*d.Shed, Failed: c.Failed + sign*d.Failed, Cancelled: c.Cancelled + sign*d.Cancelled,
		Opened: c.Opened + sign*d.Opened, Refused: c.Refused + sign*d.Refused,
		Probes: c.Probes + sign*d.Probes, ProbeBytes: c.ProbeBytes + sign*d.ProbeBytes,
		ReportBytes: c.ReportBytes + sign*d.ReportBytes,
	}
}

// countsTimeout is the timeout of ReadCounts.
const countsTimeout = 5 * time.Second

// ReadCounts fetches the counts of a stand-in server in another process.
func ReadCounts(at carobward.Address) (Counts, error) {
	var c Counts

	status, body, err := fasthttp.GetTimeout(nil, "http://"+string(at)+CountsPath, countsTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d", status)
	}

	if err == nil {
		err = json.Unmarshal(body, &c)
	}

	return c, errors.Annotatef(err, "stand: counts of %s", at)
}

// counters are the live counters behind Counts.
type counters struct {
	began, ran, repeats, shed, failed, cancelled atomic.Int64
	opened, refused                              atomic.Int64
	probes, probeBytes, reportBytes              atomic.Int64
}

func (c *counters) counts() Counts {
	return Counts{
		Began: c.began.Load(), Ran: c.ran.Load(), Repeats: c.repeats.Load(),
		Shed: c.shed.Load(), Failed: c.failed.Load(), Cancelled: c.cancelled.Load(),
		Opened: c.opened.Load(), Refused: c.refused.Load(),
		Probes: c.probes.Load(), ProbeBytes: c.probeBytes.Load(), ReportBytes: c.reportBytes.Load(),
	}
}

// Ledger counts how often the work of each request began, over all servers that
// share the ledger.
type Ledger struct {
	mutex sync.Mutex
	began map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{began: map[string]int{}} }

// attemptSeparator separates a request's ID from the attempt number.
const attemptSeparator = "~"

// Begin counts the start of an attempt and returns how often the work of its
// request has begun so far.
func (l *Ledger) Begin(id string) int {
	work, _, _ := strings.Cut(id, attemptSeparator)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.began[strings.Clone(work)]++

	return l.began[work]
}

// listener counts and limits connections and delays the first read of each.
type listener struct {
	net.Listener
	openDelay time.Duration
	maxConns  int64
	conns     atomic.Int64
	counts    *counters
}

// Accept returns the next connection within the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if l.conns.Add(1) > l.maxConns && l.maxConns > 0 {
			l.conns.Add(-1)
			l.counts.refused.Add(1)

			_ = c.Close()

			continue
		}

		l.counts.opened.Add(1)

		return &serverConn{Conn: c, listener: l}, nil
	}
}

type serverConn struct {
	net.Conn
	listener *listener
	first    sync.Once
	closed   sync.Once
}

// Read delays the first read by the time that a connection takes to open.
func (c *serverConn) Read(p []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.openDelay) })

	return c.Conn.Read(p)
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.closed.Do(func() { c.listener.conns.Add(-1) })

	return c.Conn.Close()
}

// peerClosed reports whether the peer has closed the connection.
func (c *serverConn) peerClosed() bool { return cwsocket.Peek(c.Conn) == cwsocket.Closed }
