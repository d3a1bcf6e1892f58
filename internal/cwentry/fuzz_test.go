package cwentry

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// FuzzRequest parses arbitrary bytes as a request and checks that an accepted
// request has the same path for the entry VM and the server, an id that is safe
// in headers and logs, and no hop-by-hop header fields.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"GET /sheets?a=b HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n",
		"POST http://h/fees HTTP/1.1\r\nHost: h\r\nConnection: A\r\nA: b\r\nContent-Length: 1\r\n\r\nx",
		"POST /fees/%2e%2e/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nB: c\r\n\r\n",
		"GET /a/../b#c HTTP/1.0\r\nA: b\r\n c\r\n\r\n",
	} {
		f.Add([]byte(text))
	}

	fw := newForwarder(&fakeServers{answer: echo}, 1)

	f.Fuzz(func(t *testing.T, raw []byte) {
		var ctx fasthttp.RequestCtx

		if err := ctx.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), 1024); err != nil {
			return
		}

		id, err := requestID(&ctx)
		if strings.ContainsAny(string(id), " \r\n\t\"") || len(id) > maxIDLength {
			t.Errorf("%q: unsafe id %q", raw, id)
		}

		if err != nil || check(&ctx) != nil {
			return
		}

		uri := originForm(&ctx)

		target, err := fw.findTarget(string(ctx.Host()), string(ctx.Method()), uri)
		if err != nil {
			return
		}

		call, err := fw.newCall(&ctx, target, uri, ctx.PostBody())
		if err != nil {
			return
		}

		path, _, _ := strings.Cut(call.URI, "?")
		if !strings.Contains(path, "%") && path != string(ctx.Path()) {
			t.Errorf("%q: path at the entry VM %q, at the server %q", raw, ctx.Path(), path)
		}

		checkFields(t, raw, call)
	})
}

func checkFields(t *testing.T, raw []byte, call *carobward.Call) {
	t.Helper()

	if strings.ContainsAny(call.URI+call.Host+call.Method, " \r\n") {
		t.Errorf("%q: unsafe method, URI or host: %q %q %q", raw, call.Method, call.URI, call.Host)
	}

	for _, f := range call.Header {
		if notForwarded(f.Name) || strings.ContainsAny(f.Name, " \r\n:") || strings.ContainsAny(f.Value, "\r\n") {
			t.Errorf("%q: forwarded an unsafe or hop-by-hop field %q: %q", raw, f.Name, f.Value)
		}
	}
}
