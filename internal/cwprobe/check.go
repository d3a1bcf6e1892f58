package cwprobe

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwlink"
)

// result is what came of one probe.
type result struct {
	check  cwdrain.CheckResult
	report carobward.Report
	// bytes counts those sent and received.
	bytes int64
}

// check asks the health endpoint of a server once, over a connection of its
// own. It reads no more than the cost that was reserved.
func check(ctx context.Context, to carobward.Address, path string) result {
	var d net.Dialer

	c, err := d.DialContext(ctx, "tcp", string(to))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return result{check: cwdrain.Refused}
		}

		return result{check: cwdrain.NoResult}
	}

	defer func() { _ = c.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()

	head := request(to, path)

	n, err := c.Write(head)
	if err != nil {
		return result{check: cwdrain.NoResult, bytes: int64(n)}
	}

	r := read(&io.LimitedReader{R: c, N: cwbudget.Unit - int64(n)})
	r.bytes += int64(n)

	return r
}

// request asks for a report as well, and for the end of the connection, which
// counts against those that the server takes.
func request(to carobward.Address, path string) []byte {
	var h fasthttp.RequestHeader

	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetRequestURI(path)
	h.Add(fasthttp.HeaderHost, string(to))
	h.Add(carobward.HeaderAsk, carobward.AskReport)
	h.Add(fasthttp.HeaderConnection, "close")

	return h.AppendBytes(nil)
}

// read reads the answer; the limit of the reader is the most that it may be.
func read(from *io.LimitedReader) result {
	var (
		resp fasthttp.Response
		most = from.N
	)

	err := resp.ReadLimitBody(bufio.NewReaderSize(from, cwbudget.Unit), cwbudget.Unit)
	r := result{check: cwdrain.NoResult, bytes: most - from.N}

	if err != nil {
		return r
	}

	r.report = cwlink.ParseReport(string(resp.Header.Peek(carobward.HeaderReport)), time.Now())

	switch {
	case r.report.Draining, resp.StatusCode() == fasthttp.StatusServiceUnavailable:
		r.check = cwdrain.Draining
	case resp.StatusCode() == fasthttp.StatusOK:
		r.check = cwdrain.Healthy
	}

	return r
}
