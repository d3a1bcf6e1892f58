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

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwturn"
)

// waiting returns a request of a front's service that has just come.
func waiting(r *request) *request {
	one := *r
	now := time.Now()
	one.turn = cwturn.Turn{
		Arrived: now, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		Objective: time.Minute, Usual: time.Second, Pace: 1,
	}

	return &one
}

// TestLooksTogether has many requests at once before a server whose answers to looks
// take long. While there may be room none waits for the look of another: then no more
// looks than end in the time of one would be out at once, some ten.
func TestLooksTogether(t *testing.T) {
	const (
		requests = 32
		together = 20
	)

	var out, most atomic.Int64

	stop := make(chan struct{})
	s := cwstand.NewScripted(cwtest.Listen(t), func(net.Conn, *fasthttp.Request, int) bool {
		most.Store(max(most.Load(), out.Add(1)))
		defer out.Add(-1)

		select {
		case <-stop:
		case <-time.After(endTime):
		}

		return false
	})
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(stop) })

	f, r := lookFront(t, s.Address())
	f.Link.SetConns(requests)

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	var group sync.WaitGroup

	for range requests {
		group.Go(func() {
			if l, err := waiting(r).choose(ctx, map[*cwbackend.Server]bool{}); err == nil {
				l.release()
			}
		})
	}

	cwtest.Wait(t, "looks together", func() bool { return most.Load() >= together })
	cancel()
	group.Wait()
}

// TestOffer has a freed slot go to the first in line that may have the server, and
// back where none may.
func TestOffer(t *testing.T) {
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)

	f, r := lookFront(t, u.Address())
	server := f.Servers.Views("records", time.Now(), time.Second)[0]
	line := &r.kept.line

	wait := func(age time.Duration, tried bool) *waiter {
		one := waiting(r)
		one.turn.Due = one.turn.Due.Add(-age)
		w := &waiter{request: one, tried: map[*cwbackend.Server]bool{}, offer: make(chan *looked, 1), wake: make(chan struct{}, 1)}

		if tried {
			w.tried[server.Server] = true
		}

		line.join(w, time.Now())

		return w
	}
	slot := func(running int) *looked {
		v := server
		v.Report = carobward.Report{At: time.Now(), Running: running, Slots: 4, Slowness: 1}

		return &looked{view: v, time: 1, ok: true}
	}

	had, last, first := wait(time.Second, true), wait(0, false), wait(time.Millisecond, false)

	var got []string

	for i, o := range []*looked{slot(4), slot(0), slot(0), slot(0)} {
		taken := line.offer(o, time.Now())
		got = append(got, fmt.Sprint(i, taken, len(had.offer), len(first.offer), len(last.offer)))
	}

	want := []string{"0 false 0 0 0", "1 true 0 1 0", "2 true 0 1 1", "3 false 0 1 1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
