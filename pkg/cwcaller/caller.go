// Package cwcaller is the callers' library: it asks the entry VMs which
// addresses to use, keeps the answer, sends requests there and tries again
// where that is safe.
//
// A request that must not repeat is sent with Once set. It gets a ticket, and
// after a lost reply it is sent again with the same ticket, which starts
// nothing anew: the entry VM that owns the ticket answers with the recorded
// outcome. A new ticket is used only after a "not-run". Other requests are
// sent again after a "not-run", and after an "unknown" if their method is
// idempotent (RFC 9110, 9.2.2).
package cwcaller

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Options say who the caller is and where to ask.
type Options struct {
	// Caller is a name that spreads callers over the entry VMs.
	Caller string
	// Domain is the caller's failure domain, if it has one.
	Domain carobward.Domain
	// Target is the target of the requests, if they all have the same: then
	// the answer names the entry VMs that carry it. Without it any do.
	Target carobward.TargetName
	// Lookup lists addresses of entry VMs' lookup listeners.
	Lookup []carobward.Address
	// Timeout bounds a request whose context has no deadline; by default
	// two seconds.
	Timeout time.Duration
	// Tries bounds how often one request is sent; by default eight times.
	Tries int
	// Body bounds a reply's body; by default a megabyte.
	Body carobward.ByteCount
}

// The default values of Options.
const (
	defaultTimeout = 2 * time.Second
	defaultTries   = 8
	defaultBody    = carobward.Megabyte
)

// Request is one request.
type Request struct {
	Method string
	URI    string
	Header carobward.Header
	Body   []byte
	// Once says that the request must not repeat.
	Once bool
}

// Reply is a whole reply.
type Reply struct {
	Status int
	Header carobward.Header
	Body   []byte
}

// Client sends requests. It may be used by many goroutines.
type Client struct {
	options Options
	clock   carobward.Clock
	http    *fasthttp.Client
	// fresh carries Once requests, each on a connection of its own: on a kept
	// one, which its entry VM may have closed, a failure would be unknown.
	fresh *fasthttp.Client
	book  *book
}

// New returns a client.
func New(o Options, clock carobward.Clock) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}

	if o.Tries <= 0 {
		o.Tries = defaultTries
	}

	if o.Body <= 0 {
		o.Body = defaultBody
	}

	h := newHTTP(&o)

	return &Client{options: o, clock: clock, http: h, fresh: newHTTP(&o), book: newBook(&o, clock, h)}
}

// newHTTP returns an HTTP client that sends each request once.
func newHTTP(o *Options) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "cwcaller",
		Dial:                      dial,
		MaxResponseBodySize:       int(o.Body),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dialMost bounds the opening of a connection.
const dialMost = time.Second

// dialError tells that no connection was opened, so that nothing was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialMost)
	if err != nil {
		return nil, dialError{err}
	}

	return c, nil
}

// Do sends a request and tries again where that is safe, until its deadline.
// The error is a Failure whose verdict says whether the request may have run;
// the reply that goes with it, if any, is the last one.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()

	t := &try{client: c, request: r}

	for range c.options.Tries {
		reply, err := t.next(ctx)
		if err == nil {
			return reply, nil
		}

		if !t.again(err) || !wait(ctx, err) {
			return reply, t.verdict(err)
		}

		t.failed = err
	}

	return nil, t.verdict(t.failed)
}

// wait waits until the caller should come back. It returns false if that is
// after the request's deadline.
func wait(ctx context.Context, f *carobward.Failure) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= f.RetryAfter {
		return false
	}

	t := time.NewTimer(f.RetryAfter)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ErrLookup tells that no entry VM answered which addresses to use.
const ErrLookup = errors.ConstError("caller: no entry VM answered which addresses to use")
