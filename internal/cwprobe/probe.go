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
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
)

// result is the outcome of one probe.
type result struct {
	check  cwdrain.CheckResult
	report carobward.Report
	// bytes is the number of bytes sent and received.
	bytes int64
}

// probeOnce sends one request to the health endpoint of a server, over a
// connection of its own. Request and reply together take at most
// cwbudget.MaxProbeBytes, which the measurement budget reserves for a probe.
func probeOnce(ctx context.Context, to carobward.Address, path string) result {
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

	head := newRequest(to, path)

	n, err := c.Write(head)
	if err != nil {
		return result{check: cwdrain.NoResult, bytes: int64(n)}
	}

	r := readReply(&io.LimitedReader{R: c, N: cwbudget.MaxProbeBytes - int64(n)})
	r.bytes += int64(n)

	return r
}

// newRequest returns the request of a probe. It also asks for a load report, and
// to close the connection, which counts towards the server's connection limit.
func newRequest(to carobward.Address, path string) []byte {
	var h fasthttp.RequestHeader

	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetRequestURI(path)
	h.Add(fasthttp.HeaderHost, string(to))
	h.Add(carobward.HeaderAsk, carobward.AskReport)
	h.Add(fasthttp.HeaderConnection, "close")

	return h.AppendBytes(nil)
}

// readReply reads the reply, which must not exceed the limit of the reader.
func readReply(from *io.LimitedReader) result {
	var (
		resp  fasthttp.Response
		limit = from.N
	)

	reader := bufio.NewReaderSize(from, cwbudget.MaxProbeBytes)

	err := checkHead(reader)
	if err == nil {
		err = resp.ReadLimitBody(reader, cwbudget.MaxProbeBytes)
	}

	r := result{check: cwdrain.NoResult, bytes: limit - from.N}

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

// checkHead validates the header block of a reply.
func checkHead(r *bufio.Reader) error {
	block, err := cwframe.PeekBlock(r)
	if err != nil {
		return err
	}

	_, err = cwframe.CheckReply(block)

	return err
}
