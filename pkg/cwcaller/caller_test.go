package cwcaller

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// step is what one request is answered with.
type step struct {
	status  int
	verdict string
	ticket  string
	// cut closes the connection without a reply.
	cut bool
}

// entry is an entry VM that answers by a list of steps and keeps the tickets
// that came. Two of them share the list.
type entry struct {
	mutex   sync.Mutex
	steps   []step
	tickets []string
	asked   int
	down    bool
	lookup  answer
}

func (e *entry) handle(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	if string(ctx.Path()) == "/addresses" {
		e.asked++

		if e.down {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)

			return
		}

		raw, _ := json.Marshal(e.lookup)
		ctx.SetBody(raw)

		return
	}

	e.tickets = append(e.tickets, string(ctx.Request.Header.Peek(carobward.HeaderTicket)))

	s := step{status: 200, verdict: "ran"}
	if len(e.steps) > 0 {
		s, e.steps = e.steps[0], e.steps[1:]
	}

	if s.cut {
		_ = ctx.Conn().Close()

		return
	}

	ctx.SetStatusCode(s.status)
	ctx.Response.Header.Set(carobward.HeaderVerdict, s.verdict)
	ctx.Response.Header.Set(carobward.HeaderRetryMillis, "1")

	if s.ticket != "" {
		ctx.Response.Header.Set(carobward.HeaderTicket, s.ticket)
	}
}

// listen serves on loopback.
func (e *entry) listen(t *testing.T) carobward.Address {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &fasthttp.Server{Handler: e.handle}
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = s.Serve(ln)
	}()

	t.Cleanup(func() {
		_ = s.Shutdown()
		<-done
	})

	return carobward.Address(ln.Addr().String())
}

// closedAddress is an address on which nobody listens.
func closedAddress(t *testing.T) carobward.Address {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = ln.Close()

	return carobward.Address(ln.Addr().String())
}

func TestDo(t *testing.T) {
	var (
		once = Request{Method: "POST", URI: "/fees", Once: true}
		post = Request{Method: "POST", URI: "/fees"}
		get  = Request{Method: "GET", URI: "/sheets"}
		cut  = step{cut: true}
	)

	for name, test := range map[string]struct {
		request Request
		steps   []step
		want    carobward.Verdict
		tickets []string
	}{
		"once":                           {once, nil, carobward.Ran, []string{"p.1"}},
		"once, reply lost":               {once, []step{cut}, carobward.Ran, []string{"p.1", "p.1"}},
		"once, not run":                  {once, []step{{503, "not-run", "q.0", false}}, carobward.Ran, []string{"p.1", "q.0"}},
		"once, still running":            {once, []step{cut, {409, "unknown", "p.1", false}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, lost for good":            {once, []step{cut, {410, "unknown", "p.1", false}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, not-run of a try only":    {once, []step{cut, {404, "not-run", "", false}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, busy before the ticket":   {once, []step{cut, {503, "not-run", "", false}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, not-run closes the first": {once, []step{cut, {404, "not-run", "q.0", false}}, carobward.NotRun, []string{"p.1", "p.1"}},
		"once, always lost":              {once, []step{cut, cut, cut}, carobward.Unknown, []string{"p.1", "p.1", "p.1"}},
		"post, reply lost":               {post, []step{cut}, carobward.Unknown, []string{""}},
		"post, not run":                  {post, []step{{503, "not-run", "", false}}, carobward.Ran, []string{"", ""}},
		"get, reply lost":                {get, []step{cut}, carobward.Ran, []string{"", ""}},
		"get, wrong":                     {get, []step{{404, "not-run", "", false}}, carobward.NotRun, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			e := &entry{steps: test.steps}
			at := e.listen(t)
			e.lookup = answer{Use: []line{{at, at}, {at, at}}, Keep: 60, Ticket: "p"}

			c := New(Options{Lookup: []carobward.Address{closedAddress(t), at}, Timeout: time.Minute, Tries: 3}, carobward.SystemClock{})

			got := carobward.Ran
			if _, err := c.Do(context.Background(), &test.request); err != nil {
				got = carobward.VerdictOf(err)
			}

			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}

			if diff := cmp.Diff(test.tickets, e.tickets); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAddresses: an address that is gone is passed over, an old answer is
// used on while no entry VM gives a new one, and without any nothing is sent.
func TestAddresses(t *testing.T) {
	e := &entry{}
	at, gone := e.listen(t), closedAddress(t)
	e.lookup = answer{Use: []line{{gone, gone}, {at, at}}, Keep: 0, Ticket: "p"}

	c := New(Options{Lookup: []carobward.Address{at}, Timeout: time.Minute}, carobward.SystemClock{})

	for range 3 {
		if _, err := c.Do(context.Background(), &Request{Method: "POST", URI: "/fees", Once: true}); err != nil {
			t.Fatal(err)
		}

		e.mutex.Lock()
		e.down = true
		e.mutex.Unlock()
	}

	short := Options{Lookup: []carobward.Address{gone}, Timeout: time.Minute, Tries: 2}

	_, err := New(short, carobward.SystemClock{}).Do(context.Background(), &Request{Method: "GET", URI: "/sheets"})
	if v := carobward.VerdictOf(err); err == nil || v != carobward.NotRun {
		t.Errorf("without an answer: %v", err)
	}
}
