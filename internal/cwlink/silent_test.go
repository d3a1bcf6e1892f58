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

// TestSilent lets the open connections to a server go silent without a reset.
// A health check that gets no answer must cost all that were idle, so that the
// next call opens a new one; a request without an answer costs only its own,
// since servers may keep one request waiting and answer others.
func TestSilent(t *testing.T) {
	const kept = 3

	for name, c := range map[string]struct {
		look   bool
		silent bool
		idle   int
	}{
		"a health check":                  {true, true, 0},
		"a request":                       {false, true, kept - 1},
		"a health check that is answered": {true, false, kept},
	} {
		t.Run(name, func(t *testing.T) {
			var meet sync.WaitGroup

			meet.Add(kept)

			s := newStub(t, func(c net.Conn, req *fasthttp.Request, _ int) bool {
				if cwstand.RequestID(req) == "together" {
					meet.Done()
					meet.Wait()
				}

				cwstand.Say(c, req, whole)

				return true
			})
			proxy := cwstand.NewProxy(cwtest.Listen(t), s.Address())
			t.Cleanup(proxy.Close)

			l := newLink(t)

			var group sync.WaitGroup

			for range kept {
				group.Go(func() {
					if _, err := l.Exchange(context.Background(), proxy.Address(), call("together")); err != nil {
						t.Error(err)
					}
				})
			}

			group.Wait()

			if n, _ := idle(l, proxy.Address()); n != kept {
				t.Fatalf("%d idle connections", n)
			}

			if c.silent {
				proxy.Silence()
			}

			one := call("one")
			one.Look = c.look

			if c.silent {
				one.Deadline = time.Now().Add(100 * time.Millisecond)
			}

			_, err := l.Exchange(context.Background(), proxy.Address(), one)
			if (err != nil) != c.silent {
				t.Error(err)
			}

			if n, _ := idle(l, proxy.Address()); n != c.idle {
				t.Errorf("%d connections are kept, want %d", n, c.idle)
			}

			if c.idle == 0 {
				if _, err := l.Exchange(context.Background(), proxy.Address(), call("next")); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
