package cwentry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// TestInvalidRequests checks that malformed, ambiguous and oversized requests
// get an error status with the verdict not-run and don't reach a server.
func TestInvalidRequests(t *testing.T) {
	long := strings.Repeat("x", 2000)

	for name, c := range map[string]struct {
		request string
		want    int
	}{
		"not HTTP":              {"hello\r\n\r\n", 400},
		"no version":            {"GET /sheets\r\n\r\n", 400},
		"bad version":           {"GET /sheets HTTP/9.9\r\nHost: h\r\n\r\n", 400},
		"bad method":            {"G{T /sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"no host":               {"GET /sheets HTTP/1.1\r\n\r\n", 400},
		"two hosts":             {"GET /sheets HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"bad host":              {"GET /sheets HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		"folded header":         {"GET /sheets HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
		"bare line ends":        {"GET /sheets HTTP/1.1\nHost: h\n\r\n\r\n", 400},
		"space before colon":    {"GET /sheets HTTP/1.1\r\nHost : h\r\n\r\n", 400},
		"space in a name":       {"GET /sheets HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n", 400},
		"bad name":              {"GET /sheets HTTP/1.1\r\nHost: h\r\nA\x00: c\r\n\r\n", 400},
		"bad value":             {"GET /sheets HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n", 400},
		"two lengths":           {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"negative length":       {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400},
		"signed length":         {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na", 400},
		"length and encoding":   {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two encodings":         {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown encoding":      {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
		"encoding in HTTP/1.0":  {"POST /fees HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"bad chunk size":        {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"bad chunk end":         {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400},
		"too large header":      {"GET /sheets HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", 431},
		"too large target":      {"GET /sheets/" + long + " HTTP/1.1\r\nHost: h\r\n\r\n", 431},
		"too large body":        {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("x", 65), 413},
		"too large, chunked":    {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", 413},
		"id with a quote":       {"GET /sheets HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\"b\r\n\r\n", 400},
		"id with a space":       {"GET /sheets HTTP/1.1\r\nHost: h\r\nX-Request-Id: a b\r\n\r\n", 400},
		"id too long":           {"GET /sheets HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + long[:129] + "\r\n\r\n", 400},
		"two ids":               {"GET /sheets HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Request-Id: b\r\n\r\n", 400},
		"bad timeout":           {"GET /sheets HTTP/1.1\r\nHost: h\r\nCarobward-Timeout: soon\r\n\r\n", 400},
		"timeout zero":          {"GET /sheets HTTP/1.1\r\nHost: h\r\nCarobward-Timeout: 0\r\n\r\n", 400},
		"id in the trailer":     {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Request-Id: a\r\n\r\n", 400},
		"timeout in trailer":    {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nCarobward-Timeout: 1\r\n\r\n", 400},
		"CONNECT":               {"CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"asterisk form":         {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"dot segments":          {"GET /fees/../sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"dot segment":           {"GET /sheets/. HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"empty segment":         {"GET //sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"encoded slash":         {"GET /sheets%2Ffees HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"encoded dots":          {"GET /fees/%2e%2E/sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"backslash":             {"GET /fees\\..\\sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"fragment":              {"GET /sheets#/../fees HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"absolute, dot segment": {"GET http://h/fees/../sheets HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		"no target":             {"GET /other HTTP/1.1\r\nHost: h\r\n\r\n", 404},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeServers{answer: echo}
			resp := dial(t, serve(t, options(), f)).write(c.request).read(false)

			if resp.StatusCode() != c.want {
				t.Errorf("status %d, want %d: %s", resp.StatusCode(), c.want, resp.Body())
			}

			checkProblem(t, resp, carobward.NotRun)

			if calls := f.received(); len(calls) != 0 {
				t.Errorf("forwarded: %v", calls)
			}
		})
	}
}

// checkProblem checks the headers and the body that every failure has.
func checkProblem(t *testing.T, resp *fasthttp.Response, v carobward.Verdict) {
	t.Helper()

	var p problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		t.Errorf("body %q: %v", resp.Body(), err)
	}

	got := map[string]string{
		"type":    string(resp.Header.ContentType()),
		"verdict": string(resp.Header.Peek(carobward.HeaderVerdict)),
		"vm":      string(resp.Header.Peek(carobward.HeaderVM)),
		"body":    p.Verdict,
	}
	want := map[string]string{"type": "application/problem+json", "verdict": v.String(), "vm": "vm-1", "body": v.String()}

	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	if p.Status != resp.StatusCode() || p.Detail == "" {
		t.Errorf("problem %+v: wrong status or no detail", p)
	}
}

// TestUnusualRequests checks that requests in unusual but unambiguous forms
// reach the server with the right method, URI and body.
func TestUnusualRequests(t *testing.T) {
	const multipart = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\nmore"

	for name, c := range map[string]struct {
		request string
		want    string
	}{
		"plain":                {"GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n", "GET /sheets\n"},
		"HTTP/1.0":             {"GET /sheets HTTP/1.0\r\n\r\n", "GET /sheets\n"},
		"query":                {"GET /sheets/a%20b?c=//d/../e%2f HTTP/1.1\r\nHost: h\r\n\r\n", "GET /sheets/a%20b?c=//d/../e%2f\n"},
		"trailing slash":       {"GET /sheets/ HTTP/1.1\r\nHost: h\r\n\r\n", "GET /sheets/\n"},
		"absolute":             {"GET http://h/sheets?a=b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /sheets?a=b\n"},
		"body":                 {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST /fees\nbody"},
		"chunked":              {"POST /fees HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "POST /fees\nbody"},
		"body of maximum size": {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 64\r\n\r\n" + strings.Repeat("x", 64), "POST /fees\n" + strings.Repeat("x", 64)},
		"empty body":           {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "POST /fees\n"},
		"multipart":            {"POST /fees HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 63\r\n\r\n" + multipart, "POST /fees\n" + multipart},
		"trailer":              {"POST /fees HTTP/1.1\r\nHost: h\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: 1\r\n\r\n", "POST /fees\n"},
		"unknown method":       {"BREW /sheets HTTP/1.1\r\nHost: h\r\n\r\n", "BREW /sheets\n"},
		"encoded letters":      {"GET /%73heets HTTP/1.1\r\nHost: h\r\n\r\n", "GET /%73heets\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resp := dial(t, serve(t, options(), &fakeServers{answer: echo})).write(c.request).read(false)

			if diff := cmp.Diff(c.want, string(resp.Body())); diff != "" {
				t.Error(diff)
			}

			if v := string(resp.Header.Peek(carobward.HeaderVerdict)); v != "ran" {
				t.Errorf("verdict %q, want ran", v)
			}
		})
	}
}

// TestExpect checks requests whose client sends the body only after the interim
// reply 100 Continue.
func TestExpect(t *testing.T) {
	for name, c := range map[string]struct {
		length int
		want   int
	}{
		"fits":      {64, 200},
		"too large": {65, 413},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeServers{answer: echo}
			cl := dial(t, serve(t, options(), f))
			cl.write(fmt.Sprintf("POST /fees HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", c.length))

			line, err := cl.reader.ReadString('\n')
			if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
				t.Fatalf("interim reply %q, %v; want 100 Continue", line, err)
			}

			_, _ = cl.reader.ReadString('\n')

			if got := cl.write(strings.Repeat("x", c.length)).read(false).StatusCode(); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}

			if n := len(f.received()); (n == 1) != (c.want == 200) {
				t.Errorf("%d calls were sent to servers", n)
			}
		})
	}
}

// TestHeaders checks that end-to-end header fields, and only those, are
// forwarded in both directions.
func TestHeaders(t *testing.T) {
	f := &fakeServers{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return &carobward.Reply{Status: 200, Body: []byte("body"), Header: carobward.Header{
			{Name: "Set-Cookie", Value: "a=1; Path=/b"},
			{Name: "Set-Cookie", Value: "a=2; Path=/c"},
			{Name: "Connection", Value: "keep-alive, X-Hop"},
			{Name: "Connection", Value: "X-Other"},
			{Name: "X-Hop", Value: "1"},
			{Name: "X-Other", Value: "1"},
			{Name: "X-Request-Id", Value: "its own"},
			{Name: "Carobward-Verdict", Value: "not-run"},
			{Name: "Endpoint-Load-Metrics", Value: "TEXT a=1"},
			{Name: "Content-Length", Value: "4"},
			{Name: "Etag", Value: "x"},
			{Name: "Via", Value: "1"},
			{Name: "Via", Value: "2"},
		}}, nil
	}}

	resp := dial(t, serve(t, options(), f)).write("GET /sheets HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\n" +
		"Connection: X-Hop\r\nConnection: close, X-Other\r\nX-Hop: 1\r\nX-Other: 1\r\nTE: trailers\r\n" +
		"Cookie: b=2; a=1\r\nAccept: a\r\nAccept: b\r\nCarobward-Vm: me\r\nKeep-Alive: 1\r\n\r\n").read(false)

	got := ""
	for k, v := range resp.Header.All() {
		got += string(k) + ": " + string(v) + "\n"
	}

	want := "Content-Length: 4\nContent-Type: text/plain; charset=utf-8\nServer: carobward\nSet-Cookie: a=1; Path=/b\n" +
		"Set-Cookie: a=2; Path=/c\nEtag: x\nVia: 1\nVia: 2\nX-Request-Id: me\nCarobward-Vm: vm-1\nCarobward-Verdict: ran\n" +
		"Carobward-Server: 127.0.0.1:1\nConnection: close\n"
	// The client's HTTP library adds a Content-Type if there is none.
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	sent := carobward.Header{{Name: "Cookie", Value: "b=2; a=1"}, {Name: "Accept", Value: "a"}, {Name: "Accept", Value: "b"}}
	if diff := cmp.Diff(sent, f.received()[0].Header); diff != "" {
		t.Error(diff)
	}
}

// TestHead checks that a reply to HEAD keeps its Content-Length.
func TestHead(t *testing.T) {
	f := &fakeServers{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
		return &carobward.Reply{Status: 200, Header: carobward.Header{{Name: "Content-Length", Value: "900"}}}, nil
	}}

	c := dial(t, serve(t, options(), f))
	for range 2 {
		if n := c.write("HEAD /sheets HTTP/1.1\r\nHost: h\r\n\r\n").read(true).Header.ContentLength(); n != 900 {
			t.Errorf("Content-Length %d, want 900", n)
		}
	}
}

// TestPipelined checks that pipelined requests are answered in order, and that
// the first reply doesn't wait for the second.
func TestPipelined(t *testing.T) {
	release := make(chan struct{})
	f := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/sheets/2" {
			<-release
		}

		return echo(ctx, c)
	}}

	c := dial(t, serve(t, options(), f))
	c.write("GET /sheets/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /sheets/2 HTTP/1.1\r\nHost: h\r\n\r\n")

	first := string(c.read(false).Body())

	close(release)

	if diff := cmp.Diff([]string{"GET /sheets/1\n", "GET /sheets/2\n"}, []string{first, string(c.read(false).Body())}); diff != "" {
		t.Error(diff)
	}
}

// TestCallOutlivesBuffers checks that a call stays unchanged when the HTTP
// library reads the next request into the same buffers.
func TestCallOutlivesBuffers(t *testing.T) {
	f := &fakeServers{answer: echo}
	c := dial(t, serve(t, options(), f))

	for _, body := range []string{"first", "other"} {
		c.write("POST /fees/" + body + " HTTP/1.1\r\nHost: " + body + "\r\nA: " + body + "\r\nContent-Length: 5\r\n\r\n" + body).read(false)
	}

	for i, want := range []string{"first", "other"} {
		call := f.received()[i]
		got := []string{call.URI, call.Host, call.Header.Get("A"), string(call.Body.Bytes())}

		if diff := cmp.Diff([]string{"/fees/" + want, want, want, want}, got); diff != "" {
			t.Error(diff)
		}
	}
}

// TestDisconnectedCaller checks that a repeatable request is canceled when its
// caller disconnects, and that a request that must run at most once continues.
func TestDisconnectedCaller(t *testing.T) {
	release, cancelled, ran := make(chan struct{}), make(chan string, 2), make(chan string, 2)
	f := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		select {
		case <-ctx.Done():
			cancelled <- c.URI
		case <-release:
			ran <- c.URI
		}

		return echo(ctx, c)
	}}

	forwarder := newForwarder(f, 8)
	to := serveForwarder(t, options(), forwarder)

	const end = " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

	connected := dial(t, to).write("GET /sheets/stays" + end)
	onceCaller := dial(t, to).write("POST /fees/goes" + end)
	quickCaller := dial(t, to).write("GET /sheets/goes" + end)

	cwtest.Wait(t, "three calls at the server", func() bool { return len(f.received()) == 3 })

	_, _ = onceCaller.conn.Close(), quickCaller.conn.Close()

	cwtest.Wait(t, "a call to be canceled", func() bool {
		forwarder.Tick()

		return len(cancelled) == 1
	})
	close(release)

	if status := connected.read(false).StatusCode(); status != 200 {
		t.Errorf("status %d for the connected caller, want 200", status)
	}

	cwtest.Wait(t, "the other calls to end", func() bool { return len(ran) == 2 })

	if got := <-cancelled; got != "/sheets/goes" {
		t.Errorf("%s was canceled, want /sheets/goes", got)
	}
}

// TestPanic checks that a panic fails only the request that caused it.
func TestPanic(t *testing.T) {
	f := &fakeServers{answer: func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error) {
		if c.URI == "/sheets/bad" {
			panic("a fault")
		}

		return echo(ctx, c)
	}}

	c := dial(t, serve(t, options(), f))
	resp := c.write("GET /sheets/bad HTTP/1.1\r\nHost: h\r\nX-Request-Id: me\r\n\r\n").read(false)

	checkProblem(t, resp, carobward.Unknown)

	if id := string(resp.Header.Peek(carobward.HeaderID)); resp.StatusCode() != 500 || id != "me" {
		t.Errorf("status %d, id %q; want 500 and the request's id", resp.StatusCode(), id)
	}

	if got := c.write("GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n").read(false); got.StatusCode() != 200 {
		t.Errorf("status %d of a request after the panic, want 200", got.StatusCode())
	}
}
