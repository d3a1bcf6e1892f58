package cwhop

import (
	"context"
	"net"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// TestMeasure takes a slow server for the entry VM: the difference shows, and
// no call is lost.
func TestMeasure(t *testing.T) {
	serve := func(work time.Duration) *cwstand.Server {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}

		s := cwstand.NewServer(ln, cwstand.ServerOptions{Slots: 64, Work: work})
		t.Cleanup(s.Close)

		return s
	}

	quick, slow := serve(time.Millisecond), serve(20*time.Millisecond)

	r, err := Measure(context.Background(), Options{Server: quick.Address(), Entry: slow.Address(), Path: "/a", Rate: 100, Pairs: 50})
	if err != nil {
		t.Fatal(err)
	}

	if r.Entry.P50 < 20*time.Millisecond || r.Direct.Failed+r.Entry.Failed > 0 {
		t.Errorf("got %+v", r)
	}

	if got := quick.Ran() + slow.Ran(); got < 2*(warmCalls+50) {
		t.Errorf("%d calls ran", got)
	}
}
