package cwentry

import (
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// BenchmarkHandle measures the entry VM's work for one request, from the parsed
// request to the reply, without network I/O and server.
func BenchmarkHandle(b *testing.B) {
	fw := newForwarder(&fakeServers{answer: echo}, 1)

	var ctx fasthttp.RequestCtx

	b.ReportAllocs()

	for b.Loop() {
		ctx.Request.Reset()
		ctx.Response.Reset()
		ctx.Request.Header.SetMethod("GET")
		ctx.Request.SetRequestURI("/sheets/today?club=7")
		ctx.Request.Header.SetHost("h")
		ctx.Request.Header.Set(carobward.HeaderID, "one")
		ctx.Request.Header.Set("Accept", "*/*")
		ctx.Request.Header.Set("Traceparent", "00-1-2-01")
		fw.Handle(&ctx)
	}
}
