package cwkv

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/url"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwframe"
)

// errNotSent means that no part of the request was sent.
const errNotSent = errors.ConstError("store: not reached")

// The default ports of the URL schemes.
const (
	portHTTP  = "80"
	portHTTPS = "443"
)

// dialer opens connections to the service.
type dialer struct {
	base    string
	address string
	secure  bool
}

func newDialer(base string) dialer {
	d := dialer{base: base}

	u, err := url.Parse(base)
	if err != nil {
		return d // Validated settings have a valid URL. Otherwise, all calls fail.
	}

	d.secure = u.Scheme == "https"
	port := u.Port()

	switch {
	case port != "":
	case d.secure:
		port = portHTTPS
	default:
		port = portHTTP
	}

	d.address = net.JoinHostPort(u.Hostname(), port)

	return d
}

func (d *dialer) dial(ctx context.Context) (net.Conn, error) {
	if d.secure {
		return (&tls.Dialer{}).DialContext(ctx, "tcp", d.address)
	}

	return (&net.Dialer{}).DialContext(ctx, "tcp", d.address)
}

// result is the reply to one call.
type result struct {
	status int
	index  string
	body   []byte
}

// exchange sends a request once and reads the reply. The connection is closed
// when ctx ends.
func (d *dialer) exchange(ctx context.Context, req *fasthttp.Request) (result, error) {
	c, err := d.dial(ctx)
	if err != nil {
		return result{}, errors.WithType(errors.Annotate(err, "store"), errNotSent)
	}

	defer func() { _ = c.Close() }()

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()

	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return result{}, errors.Annotate(err, "store")
	}

	if err := w.Flush(); err != nil {
		return result{}, errors.Annotate(err, "store")
	}

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	if err := resp.ReadLimitBody(bufio.NewReader(cwframe.NewConn(c)), maxReply); err != nil {
		return result{}, errors.Annotate(err, "store")
	}

	return result{
		status: resp.StatusCode(),
		index:  string(resp.Header.Peek(indexHeader)),
		body:   append([]byte(nil), resp.Body()...),
	}, nil
}
