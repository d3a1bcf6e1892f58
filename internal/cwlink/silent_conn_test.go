package cwlink

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestSilentConn lets the open connections to a server go silent without a reset. A
// health check that times out must close all idle connections, so that the next call
// opens a new one. A request that times out must close only its own connection, since
// a server may delay one request and answer others.
func TestSilentConn(t *testing.T) {
	const kept = 3

	for name, c := range map[string]struct {
		check  bool
		silent bool
		idle   int
	}{
		"health check times out":   {true, true, 0},
		"request times out":        {false, true, kept - 1},
		"health check is answered": {true, false, kept},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived sync.WaitGroup

			arrived.Add(kept)

			s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
				if cwstand.RequestID(req) == "together" {
					arrived.Done()
					arrived.Wait()
				}

				cwstand.WriteReply(c, req, okReply)

				return true
			})
			proxy := cwstand.NewProxy(cwtest.Listen(t), s.Address())
			t.Cleanup(proxy.Close)

			l := newLink(t)

			var group sync.WaitGroup

			for range kept {
				group.Go(func() {
					if _, err := l.Exchange(context.Background(), proxy.Address(), newCall("together")); err != nil {
						t.Error(err)
					}
				})
			}

			group.Wait()

			if n, _ := connCounts(l, proxy.Address()); n != kept {
				t.Fatalf("unexpected number of idle connections: %d", n)
			}

			if c.silent {
				proxy.Blackhole()
			}

			one := newCall("one")
			one.HealthCheck = c.check

			if c.silent {
				one.Deadline = time.Now().Add(100 * time.Millisecond)
			}

			_, err := l.Exchange(context.Background(), proxy.Address(), one)
			if (err != nil) != c.silent {
				t.Error(err)
			}

			if n, _ := connCounts(l, proxy.Address()); n != c.idle {
				t.Errorf("%d idle connections, want %d", n, c.idle)
			}

			if c.idle == 0 {
				if _, err := l.Exchange(context.Background(), proxy.Address(), newCall("next")); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
