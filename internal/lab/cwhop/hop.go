// Package cwhop measures what the hop by way of an entry VM adds to a call:
// pairs of a direct call and one by way of it, in one run.
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
	// Server is called directly, Entry is the callers' address of an entry
	// VM that has only this server for the path.
	Server, Entry carobward.Address
	Path          string
	// Rate is the number of pairs a second, open-loop, so that a slow call
	// holds up none after it; Pairs is how many are made.
	Rate, Pairs int
	// PIDs are the processes whose cost is measured.
	PIDs []int
}

// Times are those of calls from when they were due.
type Times struct {
	P50, P99 time.Duration
	// Failed counts the calls without an answer of status 200.
	Failed int64
}

// Result is what a run has measured.
type Result struct {
	Direct, Entry Times
	// Call is the processor time a pair, Extra that without the idle share.
	Call, Extra time.Duration
	// Idle is the share of a core that the processes take without calls.
	Idle float64
	// Resident is their memory at the end, in bytes.
	Resident int64
}

const (
	callMost = 10 * time.Second
	digits   = 3
	// warmCalls open the connections; their times are forgotten.
	warmCalls = 200
	warmMost  = 30 * time.Second
	warmPause = 10 * time.Millisecond
	// idleLook is how long the processes are watched without calls.
	idleLook = 2 * time.Second
	p50, p99 = 50, 99
)

// ErrSilent tells that no call was answered before the run.
const ErrSilent = errors.ConstError("no answer")

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
		times: hdrhistogram.New(1, int64(callMost), digits),
	}
}

// call makes one call that was due at a time, and counts from then.
func (c *client) call(due time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI(c.url)
	req.Header.Set(carobward.HeaderID, "hop")

	if err := c.http.DoTimeout(req, resp, callMost); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		c.failed.Add(1)

		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	_ = c.times.RecordValue(min(int64(time.Since(due)), int64(callMost)))
}

// warmUp opens connections and forgets the times.
func (c *client) warmUp() error {
	for end := time.Now().Add(warmMost); c.times.TotalCount() == 0; c.call(time.Now()) {
		if time.Now().After(end) {
			return errors.Annotatef(ErrSilent, "hop: %s", c.url)
		}

		<-time.After(warmPause)
	}

	for range warmCalls {
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

	<-time.After(idleLook)

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
	idle := float64(begun.Processor-before.Processor) / float64(idleLook)

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

	pace := time.Second / time.Duration(o.Rate*len(clients))
	due := time.Now()

	for range o.Pairs {
		for _, c := range clients {
			due = due.Add(pace)

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
