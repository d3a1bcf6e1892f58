// Package cwhop measures the latency and processor time that forwarding through
// an entry VM adds to a call. It makes pairs of calls, one direct and one
// through the entry VM, in the same run.
package cwhop

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwcost"
)

// Options describe one run.
type Options struct {
	// Server is the address of the server, which is called directly. Entry is
	// the callers' address of an entry VM that has only this server for the
	// path.
	Server, Entry carobward.Address
	Path          string
	// Rate is the number of pairs per second, in an open loop: a slow call does
	// not delay the calls after it. Pairs is the number of pairs.
	Rate, Pairs int
	// PIDs are the processes whose cost is measured.
	PIDs []int
}

// Times are the response times of calls, from the moment at which each call was
// due.
type Times struct {
	P50, P99 time.Duration
	// Failed is the number of calls without a reply of status 200.
	Failed int64
}

// Result is the result of a run.
type Result struct {
	Direct, Entry Times
	// Call is the processor time per pair, Extra the same without the idle
	// share.
	Call, Extra time.Duration
	// Idle is the share of a core that the processes use without calls.
	Idle float64
	// Resident is their resident memory at the end, in bytes.
	Resident int64
}

const (
	callTimeout = 10 * time.Second
	digits      = 3
	// warmupCalls is the number of calls that open the connections; their times
	// are discarded.
	warmupCalls   = 200
	warmupTimeout = 30 * time.Second
	warmupDelay   = 10 * time.Millisecond
	// idleTime is how long the processes are observed without calls.
	idleTime = 2 * time.Second
	p50, p99 = 50, 99
)

// ErrNoAnswer is returned if no call is answered during the warm-up.
const ErrNoAnswer = errors.ConstError("no answer")

// client makes calls to one address.
type client struct {
	http   *fasthttp.Client
	url    string
	failed atomic.Int64

	mutex sync.Mutex
	times *hdrhistogram.Histogram
}

func newClient(address carobward.Address, path string) *client {
	const conns = 1 << 10

	return &client{
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: conns},
		url:   fmt.Sprintf("http://%s%s", address, path),
		times: hdrhistogram.New(1, int64(callTimeout), digits),
	}
}

// call makes one call and counts its time from when it was due.
func (c *client) call(due time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI(c.url)
	req.Header.Set(carobward.HeaderID, "hop")

	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		c.failed.Add(1)

		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	_ = c.times.RecordValue(min(int64(time.Since(due)), int64(callTimeout)))
}

// warmUp opens connections and discards the times.
func (c *client) warmUp() error {
	for end := time.Now().Add(warmupTimeout); c.times.TotalCount() == 0; c.call(time.Now()) {
		if time.Now().After(end) {
			return errors.Annotatef(ErrNoAnswer, "hop: %s", c.url)
		}

		<-time.After(warmupDelay)
	}

	for range warmupCalls {
		c.call(time.Now())
	}

	c.times.Reset()
	c.failed.Store(0)

	return nil
}

func (c *client) result() Times {
	return Times{
		P50:    time.Duration(c.times.ValueAtPercentile(p50)),
		P99:    time.Duration(c.times.ValueAtPercentile(p99)),
		Failed: c.failed.Load(),
	}
}

// Measure makes the pairs of calls.
func Measure(ctx context.Context, o Options) (Result, error) {
	direct, entry := newClient(o.Server, o.Path), newClient(o.Entry, o.Path)

	for _, c := range []*client{direct, entry} {
		if err := c.warmUp(); err != nil {
			return Result{}, err
		}
	}

	before, err := cwcost.Sum(o.PIDs)
	if err != nil {
		return Result{}, err
	}

	<-time.After(idleTime)

	begun, err := cwcost.Sum(o.PIDs)
	if err != nil {
		return Result{}, err
	}

	begin := time.Now()
	if err := drive(ctx, o, direct, entry); err != nil {
		return Result{}, err
	}

	end, err := cwcost.Sum(o.PIDs)
	if err != nil {
		return Result{}, err
	}

	used, pairs := end.Processor-begun.Processor, time.Duration(o.Pairs)
	idle := float64(begun.Processor-before.Processor) / float64(idleTime)

	return Result{
		Direct: direct.result(), Entry: entry.result(), Idle: idle, Resident: end.Resident,
		Call:  used / pairs,
		Extra: (used - time.Duration(idle*float64(time.Since(begin)))) / pairs,
	}, nil
}

// drive makes the calls when they are due and waits for all of them.
func drive(ctx context.Context, o Options, clients ...*client) error {
	var group conc.WaitGroup

	defer group.Wait()

	interval := time.Second / time.Duration(o.Rate*len(clients))
	due := time.Now()

	for range o.Pairs {
		for _, c := range clients {
			due = due.Add(interval)

			select {
			case <-ctx.Done():
				return errors.Annotate(ctx.Err(), "hop")
			case <-time.After(time.Until(due)):
			}

			at := due

			group.Go(func() { c.call(at) })
		}
	}

	return nil
}
