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

// scriptedReply is the reply to one request.
type scriptedReply struct {
	status  int
	verdict string
	ticket  string
	// cut closes the connection without a reply.
	cut bool
	// attemptNotRun adds the verdict not-run for this attempt.
	attemptNotRun bool
}

// fakeEntryVM is an entry VM that sends scripted replies and records the
// tickets of the requests. After the last scripted reply it replies with
// status 200.
type fakeEntryVM struct {
	mutex   sync.Mutex
	replies []scriptedReply
	tickets []string
	down    bool
	lookup  lookupReply
}

func (e *fakeEntryVM) handle(ctx *fasthttp.RequestCtx) {
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

	s := scriptedReply{status: 200, verdict: "ran"}
	if len(e.replies) > 0 {
		s, e.replies = e.replies[0], e.replies[1:]
	}

	if s.cut {
		_ = ctx.Conn().Close()

		return
	}

	ctx.SetStatusCode(s.status)
	ctx.Response.Header.Set(carobward.HeaderVerdict, s.verdict)
	ctx.Response.Header.Set(carobward.HeaderRetryMillis, "1")

	if s.attemptNotRun {
		ctx.Response.Header.Set(carobward.HeaderAttempt, "not-run")
	}

	if s.ticket != "" {
		ctx.Response.Header.Set(carobward.HeaderTicket, s.ticket)
	}
}

// listen serves on a loopback address.
func (e *fakeEntryVM) listen(t *testing.T) carobward.Address { return cwtest.ServeHTTP(t, e.handle) }

// closedAddress returns an address on which nothing listens.
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
		cut  = scriptedReply{cut: true}
	)

	for name, test := range map[string]struct {
		request Request
		replies []scriptedReply
		want    carobward.Verdict
		tickets []string
	}{
		"once":                                    {once, nil, carobward.Ran, []string{"p.1"}},
		"once, reply lost":                        {once, []scriptedReply{cut}, carobward.Ran, []string{"p.1", "p.1"}},
		"once, not run":                           {once, []scriptedReply{{status: 503, verdict: "not-run", ticket: "q.0"}}, carobward.Ran, []string{"p.1", "q.0"}},
		"once, still running":                     {once, []scriptedReply{cut, {status: 409, verdict: "unknown", ticket: "p.1"}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, outcome lost":                      {once, []scriptedReply{cut, {status: 410, verdict: "unknown", ticket: "p.1"}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, attempt not run":                   {once, []scriptedReply{cut, {status: 404, verdict: "not-run", ticket: ""}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, busy, no ticket":                   {once, []scriptedReply{cut, {status: 503, verdict: "not-run", ticket: ""}}, carobward.Ran, []string{"p.1", "p.1", "p.1"}},
		"once, ticket closed":                     {once, []scriptedReply{cut, {status: 404, verdict: "not-run", ticket: "q.0"}}, carobward.NotRun, []string{"p.1", "p.1"}},
		"once, replies always lost":               {once, []scriptedReply{cut, cut, cut}, carobward.Unknown, []string{"p.1", "p.1", "p.1"}},
		"once, owner unavailable, first attempt":  {once, []scriptedReply{{status: 503, verdict: "unknown", ticket: "p.1", attemptNotRun: true}}, carobward.Ran, []string{"p.1", "p.2"}},
		"once, owner unavailable, second attempt": {once, []scriptedReply{cut, {status: 410, verdict: "unknown", ticket: "p.1", attemptNotRun: true}}, carobward.Unknown, []string{"p.1", "p.1"}},
		"once, ticket too old":                    {once, []scriptedReply{{status: 410, verdict: "unknown", ticket: "p.1", attemptNotRun: true}}, carobward.Ran, []string{"p.1", "p.2"}},
		"post, reply lost":                        {post, []scriptedReply{cut}, carobward.Unknown, []string{""}},
		"post, not run":                           {post, []scriptedReply{{status: 503, verdict: "not-run", ticket: ""}}, carobward.Ran, []string{"", ""}},
		"get, reply lost":                         {get, []scriptedReply{cut}, carobward.Ran, []string{"", ""}},
		"get, not found":                          {get, []scriptedReply{{status: 404, verdict: "not-run", ticket: ""}}, carobward.NotRun, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeEntryVM{replies: test.replies}
			at := e.listen(t)
			e.lookup = lookupReply{Use: []endpoint{{at, at}, {at, at}}, Keep: 60, Ticket: "p"}

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

// TestTicketOfNextVM verifies that if the first entry VM refuses the
// connection, so that nothing was sent, the request takes a ticket of the
// second one.
func TestTicketOfNextVM(t *testing.T) {
	first, second := &fakeEntryVM{}, &fakeEntryVM{lookup: lookupReply{Ticket: "second"}}
	at, closed := first.listen(t), closedAddress(t)
	first.lookup = lookupReply{Use: []endpoint{{closed, at}, {second.listen(t), second.listen(t)}}, Keep: 60, Ticket: "first"}

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

// TestAddresses verifies that an address that refuses connections is skipped,
// that an expired lookup reply is used while no entry VM answers lookups, and
// that without any lookup reply the verdict is not-run.
func TestAddresses(t *testing.T) {
	e := &fakeEntryVM{}
	at, closed := e.listen(t), closedAddress(t)
	e.lookup = lookupReply{Use: []endpoint{{closed, closed}, {at, at}}, Keep: 0, Ticket: "p"}

	c := New(Options{Lookup: []carobward.Address{at}, Timeout: time.Minute}, carobward.SystemClock{})

	for range 3 {
		if _, err := c.Do(context.Background(), &Request{Method: "POST", URI: "/fees", Once: true}); err != nil {
			t.Fatal(err)
		}

		e.mutex.Lock()
		e.down = true
		e.mutex.Unlock()
	}

	options := Options{Lookup: []carobward.Address{closed}, Timeout: time.Minute, Tries: 2}

	_, err := New(options, carobward.SystemClock{}).Do(context.Background(), &Request{Method: "GET", URI: "/sheets"})
	if v := carobward.VerdictOf(err); err == nil || v != carobward.NotRun {
		t.Errorf("without a lookup reply: got %v, want verdict not-run", err)
	}
}
