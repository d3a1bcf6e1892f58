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
	"carobward.example/carobward/internal/cwtest"
)

// step is what one request is answered with.
type step struct {
	status  int
	verdict string
	ticket  string
	// cut closes the connection without a reply.
	cut bool
	// attempt is set where this one request has not run.
	attempt bool
}

// entry is an entry VM that answers by a list of steps and keeps the tickets
// that came. Two of them share the list.
type entry struct {
	mutex   sync.Mutex
	steps   []step
	tickets []string
	down    bool
	lookup  answer
}

func (e *entry) handle(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	if string(ctx.Path()) == "/addresses" {
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

	if s.attempt {
		ctx.Response.Header.Set(carobward.HeaderAttempt, "not-run")
	}

	if s.ticket != "" {
		ctx.Response.Header.Set(carobward.HeaderTicket, s.ticket)
	}
}

// listen serves on loopback.
func (e *entry) listen(t *testing.T) carobward.Address { return cwtest.ServeHTTP(t, e.handle) }

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
		"once, not run":                  {once, []step{{status: 503, verdict: "not-run", ticket: "q.0"}}, carobward.Ran, []string{"p.1", "q.0"}},
		"once, still running":            {once, []step{cut, {status: 409, verdict: "unknown", ticket: "p.1"}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, lost for good":            {once, []step{cut, {status: 410, verdict: "unknown", ticket: "p.1"}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, not-run of a try only":    {once, []step{cut, {status: 404, verdict: "not-run", ticket: ""}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, busy before the ticket":   {once, []step{cut, {status: 503, verdict: "not-run", ticket: ""}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, not-run closes the first": {once, []step{cut, {status: 404, verdict: "not-run", ticket: "q.0"}}, carobward.NotRun, []string{"p.1", "p.1"}},
		"once, always lost":              {once, []step{cut, cut, cut}, carobward.Unknown, []string{"p.1", "p.1", "p.1"}},
		"once, owner gone, first try":    {once, []step{{status: 503, verdict: "unknown", ticket: "p.1", attempt: true}}, carobward.Ran, []string{"p.1", "p.2"}},
		"once, owner gone, second try":   {once, []step{cut, {status: 410, verdict: "unknown", ticket: "p.1", attempt: true}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, ticket too old":           {once, []step{{status: 410, verdict: "unknown", ticket: "p.1", attempt: true}}, carobward.Ran, []string{"p.1", "p.2"}},
		"post, reply lost":               {post, []step{cut}, carobward.Unknown, []string{""}},
		"post, not run":                  {post, []step{{status: 503, verdict: "not-run", ticket: ""}}, carobward.Ran, []string{"", ""}},
		"get, reply lost":                {get, []step{cut}, carobward.Ran, []string{"", ""}},
		"get, wrong":                     {get, []step{{status: 404, verdict: "not-run", ticket: ""}}, carobward.NotRun, []string{""}},
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

			e.mutex.Lock()
			defer e.mutex.Unlock()

			if diff := cmp.Diff(test.tickets, e.tickets); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTicketOfTheVMThatIsUsed: nothing was sent to an entry VM that is gone,
// so that the next one is asked for a ticket of its own.
func TestTicketOfTheVMThatIsUsed(t *testing.T) {
	first, second := &entry{}, &entry{lookup: answer{Ticket: "second"}}
	at, gone := first.listen(t), closedAddress(t)
	first.lookup = answer{Use: []line{{gone, at}, {second.listen(t), second.listen(t)}}, Keep: 60, Ticket: "first"}

	c := New(Options{Lookup: []carobward.Address{at}, Timeout: time.Minute}, carobward.SystemClock{})
	if _, err := c.Do(context.Background(), &Request{Method: "POST", URI: "/fees", Once: true}); err != nil {
		t.Fatal(err)
	}

	second.mutex.Lock()
	defer second.mutex.Unlock()

	if diff := cmp.Diff([]string{"second.2"}, second.tickets); diff != "" {
		t.Error(diff)
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
