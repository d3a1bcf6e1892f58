package cwhop

import (
	"context"
	"net"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// TestMeasure uses a slow server in place of the entry VM. The difference must
// show, and no call may fail.
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

	if got := quick.Ran() + slow.Ran(); got < 2*(warmupCalls+50) {
		t.Errorf("%d calls ran", got)
	}
}
