package path

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwtest"
)

// load is constant work of several callers that hold address answers for as
// long as they may, and never try again: a request without a whole reply with
// status 200 has been cut.
type load struct {
	lookup []string
	stop   chan struct{}
	group  conc.WaitGroup

	sent, charged atomic.Int64

	mutex sync.Mutex
	by    map[string]int
	cut   []string
}

const (
	loadCallers = 6
	loadWorkers = 4
	// loadIdle is how long a caller keeps an idle connection. It does not
	// notice that the other side has closed one.
	loadIdle = 2 * time.Second
)

func startLoad(t *testing.T, f *cwtest.Fleet) *load {
	t.Helper()

	l := &load{stop: make(chan struct{}), by: map[string]int{}}
	for _, n := range f.VMs {
		l.lookup = append(l.lookup, n.Lookup)
	}

	for i := range loadCallers {
		c := &loadCaller{load: l, name: fmt.Sprintf("caller-%d", i), http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       loadIdle,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, time.Second) },
		}}

		for w := range loadWorkers {
			l.group.Go(func() { c.work(w%2 == 0) })
		}
	}

	t.Cleanup(l.end)

	return l
}

// end stops the load.
func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}

	l.group.Wait()
}

// served returns how many requests an entry VM has answered.
func (l *load) served(vm string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.by[vm]
}

// cuts returns the requests that were cut.
func (l *load) cuts() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return append([]string(nil), l.cut...)
}

// loadCaller is one caller.
type loadCaller struct {
	load *load
	name string
	http *fasthttp.Client

	mutex sync.Mutex
	use   carobward.Address
	until time.Time
}

func (c *loadCaller) work(charge bool) {
	for {
		select {
		case <-c.load.stop:
			return
		default:
			if to := c.address(); to != "" {
				c.request(to, charge)
			}
		}
	}
}

// address returns the first address of the answer that is held, or of a new
// one if that has run out.
func (c *loadCaller) address() carobward.Address {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if time.Now().Before(c.until) {
		return c.use
	}

	for _, l := range c.load.lookup {
		status, body, err := c.http.GetTimeout(nil, "http://"+l+"/addresses?domain=Ifrane&caller="+c.name, time.Second)

		var a cwlookup.Answer
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &a) == nil && len(a.Use) > 0 {
			c.use, c.until = a.Use[0].Address, time.Now().Add(time.Duration(a.Keep)*time.Second)

			return c.use
		}
	}

	return ""
}

func (c *loadCaller) request(to carobward.Address, charge bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(to) + "/sheets/today")

	if charge {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + string(to) + "/fees")
		req.SetBodyString(fmt.Sprint("launch ", c.load.sent.Add(1)))
	}

	err := c.http.DoTimeout(req, resp, 10*time.Second)

	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()

	switch {
	case err != nil:
		c.load.cut = append(c.load.cut, fmt.Sprintf("%s: %v", to, err))
	case resp.StatusCode() != fasthttp.StatusOK:
		c.load.cut = append(c.load.cut, fmt.Sprintf("%s: %d %s", to, resp.StatusCode(), resp.Body()))
	default:
		c.load.by[string(resp.Header.Peek(carobward.HeaderVM))]++

		if charge {
			c.load.charged.Add(1)
		}
	}
}
