package cwfront

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// queuedRequest returns a copy of a request that has just arrived.
func queuedRequest(r *request) *request {
	one := *r
	now := time.Now()
	one.schedule = cwqueue.Schedule{
		Arrived: now, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		Objective: time.Minute, Usual: time.Second, Slowdown: 1,
	}

	return &one
}

// TestConcurrentChecks sends many requests to a server that is slow to answer health
// checks. As long as there may be room, no request waits for the health check of another.
// If each did, only those started during one check's time would run at once, about ten.
func TestConcurrentChecks(t *testing.T) {
	const (
		requests = 32
		together = 20
	)

	var running, most atomic.Int64

	stop := make(chan struct{})
	s := cwstand.NewScripted(cwtest.Listen(t), func(net.Conn, *fasthttp.Request, int) bool {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)

		select {
		case <-stop:
		case <-time.After(maxCheckTime):
		}

		return false
	})
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(stop) })

	f, r := newCheckFront(t, s.Address())
	f.Link.SetConns(requests)
	// A process that has just started may make fewer checks than this test counts.
	r.state.checks = rate.NewLimiter(requests*cwpick.SampleSize, requests*cwpick.SampleSize)

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	var group sync.WaitGroup

	for range requests {
		group.Go(func() {
			if l, err := queuedRequest(r).choose(ctx, map[*cwbackend.Server]bool{}); err == nil {
				l.release()
			}
		})
	}

	cwtest.Wait(t, "concurrent health checks", func() bool { return most.Load() >= together })
	cancel()
	group.Wait()
}

// TestOffer checks that a freed slot goes to the first waiter in the queue that may use
// the server, and that it is declined if there is none.
func TestOffer(t *testing.T) {
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)

	f, r := newCheckFront(t, u.Address())
	server := f.Servers.Views("records", time.Now(), time.Second)[0]
	q := &r.state.queue

	wait := func(age time.Duration, tried bool) *waiter {
		one := queuedRequest(r)
		one.schedule.Due = one.schedule.Due.Add(-age)
		w := &waiter{request: one, tried: map[*cwbackend.Server]bool{}, offer: make(chan *candidate, 1), wake: make(chan struct{}, 1)}

		if tried {
			w.tried[server.Server] = true
		}

		q.join(w, time.Now())

		return w
	}
	slot := func(running int) *candidate {
		v := server
		v.Report = carobward.Report{At: time.Now(), Running: running, Slots: 4, Slowness: 1}

		return &candidate{view: v, time: 1, ok: true}
	}

	hasTried, last, first := wait(time.Second, true), wait(0, false), wait(time.Millisecond, false)

	var got []string

	for i, o := range []*candidate{slot(4), slot(0), slot(0), slot(0)} {
		taken := q.offer(o, time.Now())
		got = append(got, fmt.Sprint(i, taken, len(hasTried.offer), len(first.offer), len(last.offer)))
	}

	want := []string{"0 false 0 0 0", "1 true 0 1 0", "2 true 0 1 1", "3 false 0 1 1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
