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

// Counts is what a stand-in server counted. Measuring is counted here and
// not at the entry VMs, so that nothing is missed.
type Counts struct {
	// Began and Ran count the calls that got a slot and those that ran to
	// their end.
	Began, Ran int64
	// Repeats counts calls whose work had begun before, here or on a server
	// with the same ledger.
	Repeats int64
	// Shed, Failed and Cancelled count the calls that were refused, failed
	// fast, or left by their sender before they ended.
	Shed, Failed, Cancelled int64
	// Opened counts connections, Refused those over the bound.
	Opened, Refused int64
	// Probes counts requests to the health endpoint, ProbeBytes the bytes of
	// both ways.
	Probes, ProbeBytes int64
	// ReportBytes counts the bytes of reports on replies.
	ReportBytes int64
}

// Add returns the sums of two counts.
func (c Counts) Add(d Counts) Counts { return c.plus(d, 1) }

// Sub returns what was counted since an earlier time.
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

// countsWait bounds the reading of counts.
const countsWait = 5 * time.Second

// ReadCounts asks a stand-in server that runs in another process.
func ReadCounts(at carobward.Address) (Counts, error) {
	var c Counts

	status, body, err := fasthttp.GetTimeout(nil, "http://"+string(at)+CountsPath, countsWait)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("status %d", status)
	}

	if err == nil {
		err = json.Unmarshal(body, &c)
	}

	return c, errors.Annotatef(err, "stand: counts of %s", at)
}

// counters are Counts that are still counted.
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

// Ledger counts how often each piece of work began, over all servers that
// share it.
type Ledger struct {
	mutex sync.Mutex
	began map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{began: map[string]int{}} }

// attemptMark parts a request's id from the number of the attempt.
const attemptMark = "~"

// Begin counts the start of one attempt and returns how often its work has
// begun by now.
func (l *Ledger) Begin(id string) int {
	work, _, _ := strings.Cut(id, attemptMark)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.began[strings.Clone(work)]++

	return l.began[work]
}

// listener counts and bounds connections and makes each one slow to open.
type listener struct {
	net.Listener
	open   time.Duration
	most   int64
	now    atomic.Int64
	counts *counters
}

// Accept returns the next connection within the bound.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if l.now.Add(1) > l.most && l.most > 0 {
			l.now.Add(-1)
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

// Read makes the first read wait for as long as a connection takes to open.
func (c *serverConn) Read(p []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.open) })

	return c.Conn.Read(p)
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.closed.Do(func() { c.listener.now.Add(-1) })

	return c.Conn.Close()
}

// left tells whether the other side has closed the connection.
func (c *serverConn) left() bool { return cwsocket.Peek(c.Conn) == cwsocket.Closed }
