package cwfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwmemory"
	"carobward.example/carobward/internal/cwroutes"
	"carobward.example/carobward/internal/cwtest"
)

// The budget and the limit of the tests.
const (
	testBudget  = 256 << 10
	testReserve = 16 << 10
	testLimit   = 128 << 10
)

// newBodyServer returns a front and the address of a server that reads bodies and answers with their text.
func newBodyServer(t *testing.T) (*Front, carobward.Address) {
	t.Helper()

	f, _ := newCheckFront(t, "127.0.0.1:9")
	f.Requests = cwmemory.NewBudget(testBudget, testReserve)
	f.SetRoutes(cwroutes.New(&carobward.Routing{Limits: carobward.Limits{Body: testLimit, Idle: time.Minute}}))

	handle := func(ctx *fasthttp.RequestCtx) {
		b := newBody(f.Requests)
		defer b.release()

		err := f.readBody(ctx, f.conns, b)

		switch {
		case err == nil:
			ctx.SetBody(b.Bytes())
		case isFailure(err):
			ctx.SetStatusCode(asFailure(err).Status)
			ctx.SetConnectionClose()
		default:
			f.handleReadError(ctx, err)
		}
	}
	s := f.newServer(handle, f.conns, 8)

	return f, cwtest.Serve(t, s.Serve, s.Shutdown)
}

// exchangeRaw sends a text, closes its side of the connection, and returns the status and the body of the
// answer. The status is 0 if there is none.
func exchangeRaw(t *testing.T, to carobward.Address, text string) (int, string) {
	t.Helper()

	conn, err := net.Dial("tcp", string(to))
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = conn.Close() }()

	go func() {
		_, _ = io.WriteString(conn, text)

		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()

	_ = conn.SetReadDeadline(time.Now().Add(cwtest.MaxWait))

	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return 0, ""
	}

	return resp.StatusCode(), string(resp.Body())
}

// TestReadBody verifies which bodies are read, and guards against memory that is not given back on one of the
// ways out.
func TestReadBody(t *testing.T) {
	length := func(n int, body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, body) }
	chunks := func(text string) string { return "Transfer-Encoding: chunked\r\n\r\n" + text }
	long := strings.Repeat("0123456789abcdef", testLimit/16)
	filler := "X-Fill: " + strings.Repeat("x", 8<<10) + "\r\n"

	for name, c := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"none":                      {"\r\n", 200, ""},
		"empty":                     {length(0, ""), 200, ""},
		"short":                     {length(4, "body"), 200, "body"},
		"of the limit":              {length(testLimit, long), 200, long},
		"one byte over":             {length(testLimit+1, long+"x"), 413, ""},
		"announced only":            {length(1<<40, ""), 413, ""},
		"cut":                       {length(testLimit, long[1:]), 400, ""},
		"cut short":                 {length(4, "bod"), 400, ""},
		"more than announced":       {length(4, "body and more"), 200, "body"},
		"chunks":                    {chunks("2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"), 200, "body"},
		"chunks of a byte":          {chunks(strings.Repeat("1\r\nx\r\n", 9000) + "0\r\n\r\n"), 200, strings.Repeat("x", 9000)},
		"chunks of the limit":       {chunks(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testLimit, long)), 200, long},
		"chunks over it":            {chunks(fmt.Sprintf("%x\r\n%sx\r\n0\r\n\r\n", testLimit+1, long)), 413, ""},
		"no last chunk":             {chunks("4\r\nbody\r\n"), 400, ""},
		"no size":                   {chunks("x\r\nbody\r\n0\r\n\r\n"), 400, ""},
		"a size without an end":     {chunks(strings.Repeat("0", 400)), 400, ""},
		"an extension":              {chunks("4;a=b\r\nbody\r\n0\r\n\r\n"), 200, "body"},
		"trailers":                  {chunks("4\r\nbody\r\n0\r\nA: b\r\n\r\n"), 200, "body"},
		"trailers without an end":   {chunks("4\r\nbody\r\n0\r\n" + strings.Repeat("A: b\r\n", 8<<10)), 431, ""},
		"a large header":            {filler + length(4, "body"), 200, "body"},
		"a length and chunks":       {"Content-Length: 4\r\n" + chunks("4\r\nbody\r\n0\r\n\r\n"), 400, ""},
		"a length that is negative": {length(-4, "body"), 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f, at := newBodyServer(t)

			status, body := exchangeRaw(t, at, "POST /a HTTP/1.1\r\nHost: a\r\n"+c.text)
			if status != c.status || c.status == 200 && body != c.body {
				t.Errorf("status %d, %d bytes, want status %d, %d bytes", status, len(body), c.status, len(c.body))
			}

			cwtest.Wait(t, "the memory to be given back", func() bool { return f.Requests.Used() == 0 })
		})
	}
}

// TestReadBodyMemory verifies that bodies for which there is no memory are refused with a time to come back, and
// that small ones are still read.
func TestReadBodyMemory(t *testing.T) {
	f, at := newBodyServer(t)
	if !f.Requests.Take(testBudget - testReserve) {
		t.Fatal("the budget is used")
	}

	var got []int

	for _, n := range []int{0, smallBody, 2 * smallBody} {
		status, _ := exchangeRaw(t, at, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n)))
		got = append(got, status)
	}

	if diff := cmp.Diff([]int{200, 200, 503}, got); diff != "" {
		t.Error(diff)
	}

	failure := asFailure(newBody(f.Requests).take(2 * smallBody))
	if failure.Verdict != carobward.NotRun || failure.RetryAfter <= 0 {
		t.Errorf("%+v", failure)
	}

	cwtest.Wait(t, "the memory to be given back", func() bool { return f.Requests.Used() == testBudget-testReserve })
}

// TestBodyHolders guards against memory that is given back while a send still uses it, or twice.
func TestBodyHolders(t *testing.T) {
	b := newBody(cwmemory.NewBudget(testBudget, 0))
	if err := b.take(100); err != nil {
		t.Fatal(err)
	}

	var got []carobward.ByteCount

	b.hold()

	for range 2 {
		b.release()
		got = append(got, b.budget.Used())
	}

	if diff := cmp.Diff([]carobward.ByteCount{100, 0}, got); diff != "" {
		t.Error(diff)
	}
}

// panickingClock panics where it is asked for the time.
type panickingClock struct{}

func (panickingClock) Now() time.Time { panic("test panic") }

// bodyCallers is a dialect without fields.
type bodyCallers struct{ plainCallers }

func (bodyCallers) ID(func(name string) string) carobward.RequestID { return "one" }

func (bodyCallers) ReplyFields(carobward.RequestID, func(name, value string)) {}

func (bodyCallers) RetryAfter(time.Duration, func(name, value string)) {}

// TestReadBodyPanics guards against a panic while a body is read that ends the process, or keeps the memory.
func TestReadBodyPanics(t *testing.T) {
	f, _ := newBodyServer(t)
	f.Dialect = bodyCallers{}

	s := f.newServer(func(ctx *fasthttp.RequestCtx) {
		f.Clock = panickingClock{}
		f.handleBody(ctx, cwconn.New(1, carobward.SystemClock{}), nil)
	}, cwconn.New(1, carobward.SystemClock{}), 1)
	at := cwtest.Serve(t, s.Serve, s.Shutdown)

	filler := "X-Fill: " + strings.Repeat("x", 8<<10) + "\r\n"
	if status, _ := exchangeRaw(t, at, "POST /a HTTP/1.1\r\nHost: a\r\n"+filler+"Content-Length: 4\r\n\r\nbody"); status != fasthttp.StatusBadGateway {
		t.Errorf("status %d", status)
	}

	cwtest.Wait(t, "the memory to be given back", func() bool { return f.Requests.Used() == 0 })
}
