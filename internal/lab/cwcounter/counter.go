// Package cwcounter is a stand-in for servers that answers health checks and
// counts their cost per second.
package cwcounter

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
)

// Counter counts the requests of all its listeners. Create it with New.
type Counter struct {
	status atomic.Int64
	// report is the load report on each reply, if any.
	report atomic.Pointer[string]

	mutex    sync.Mutex
	arrivals []arrival
	servers  []*fasthttp.Server
	group    sync.WaitGroup
}

// arrival is one request, with the bytes of request and reply.
type arrival struct {
	at    time.Time
	bytes int64
}

// New returns a counter whose replies have a status and, unless it is nil, a
// load report.
func New(status int, report *string) *Counter {
	c := &Counter{}
	c.status.Store(int64(status))
	c.report.Store(report)

	return c
}

// Listen starts one server on the loopback interface and returns its address.
func (c *Counter) Listen() (carobward.Address, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "counter")
	}

	s := &fasthttp.Server{Handler: c.handle, CloseOnShutdown: true}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.servers = append(c.servers, s)

	c.group.Go(func() { _ = s.Serve(ln) })

	return carobward.Address(ln.Addr().String()), nil
}

// Close stops all servers and waits until they have ended.
func (c *Counter) Close() {
	c.mutex.Lock()
	all := c.servers
	c.mutex.Unlock()

	for _, s := range all {
		_ = s.Shutdown()
	}

	c.group.Wait()
}

func (c *Counter) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(int(c.status.Load()))

	if r := c.report.Load(); r != nil {
		ctx.Response.Header.Set(carobward.HeaderReport, *r)
	}

	ctx.SetBodyString("ok")

	request, answer := ctx.Request.Header.Header(), ctx.Response.Header.Header()
	bytes := int64(len(request) + len(answer) + len(ctx.Response.Body()))

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.arrivals = append(c.arrivals, arrival{time.Now(), bytes})
}

// Worst returns the most calls and the most bytes within any second.
func (c *Counter) Worst() cwbudget.Cost {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	var worst, sum cwbudget.Cost

	first := 0

	for _, a := range c.arrivals {
		sum = sum.Plus(cwbudget.Cost{Calls: 1, Bytes: a.bytes})

		for a.at.Sub(c.arrivals[first].at) >= time.Second {
			sum = sum.Minus(cwbudget.Cost{Calls: 1, Bytes: c.arrivals[first].bytes})
			first++
		}

		worst = cwbudget.Cost{Calls: max(worst.Calls, sum.Calls), Bytes: max(worst.Bytes, sum.Bytes)}
	}

	return worst
}

// Count returns the number of requests so far.
func (c *Counter) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return len(c.arrivals)
}
