// Package cwcaller is the client library for callers. It looks up which entry
// VMs to use, caches the reply, sends requests to these entry VMs and retries
// if that is safe.
//
// A request that must not repeat is sent with Once set. It gets a ticket. If
// its reply is lost, it is sent again with the same ticket, which does not
// run it again: the entry VM that owns the ticket replies with the recorded
// outcome. A new ticket is used only after the verdict not-run. Other
// requests are retried after the verdict not-run, and after the verdict
// unknown if their method is idempotent (RFC 9110, section 9.2.2).
package cwcaller

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Options configure a Client.
type Options struct {
	// Caller is a name that is used to spread callers over the entry VMs.
	Caller string
	// Domain is the failure domain of the caller, if it has one.
	Domain carobward.Domain
	// Target is the target of all requests, if they have the same one: the
	// lookup then returns the entry VMs that serve this target. Without it,
	// the lookup returns any entry VMs.
	Target carobward.TargetName
	// Lookup lists the lookup addresses of entry VMs.
	Lookup []carobward.Address
	// Timeout is the timeout of a request including its retries. The default
	// is two seconds. An earlier deadline of the context takes precedence.
	Timeout time.Duration
	// Tries is the maximum number of times that a request is sent. The
	// default is eight.
	Tries int
	// Body is the maximum size of the body of a reply. The default is one
	// megabyte.
	Body carobward.ByteCount
}

// The default values of Options.
const (
	defaultTimeout = 2 * time.Second
	defaultTries   = 8
	defaultBody    = carobward.Megabyte
)

// Request is an HTTP request.
type Request struct {
	Method string
	URI    string
	Header carobward.Header
	Body   []byte
	// Once means that the request must not repeat.
	Once bool
}

// Reply is a complete HTTP reply.
type Reply struct {
	Status int
	Header carobward.Header
	Body   []byte
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	options Options
	clock   carobward.Clock
	http    *fasthttp.Client
	// unpooled sends Once requests, each on a new connection. On a pooled
	// connection, which the entry VM may have closed, a failure would leave
	// the outcome unknown.
	unpooled *fasthttp.Client
	lookups  *lookupCache
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

	return &Client{options: o, clock: clock, http: h, unpooled: newHTTP(&o), lookups: newLookupCache(&o, clock, h)}
}

// newHTTP returns an HTTP client that does not retry requests.
func newHTTP(o *Options) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "cwcaller",
		Dial:                      dial,
		MaxResponseBodySize:       int(o.Body),
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// dialTimeout is the timeout for opening a connection.
const dialTimeout = time.Second

// dialError means that the connection could not be opened, so nothing was
// sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.error }

func dial(address string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, dialError{err}
	}

	return cwframe.NewConn(c), nil
}

// Do sends a request and retries if that is safe, until the deadline. The
// error is a Failure whose verdict says whether the request may have run. The
// reply returned with an error is the last one, or nil.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()

	k := &call{client: c, request: r}

	for range c.options.Tries {
		reply, err := k.attempt(ctx)
		if err == nil {
			return reply, nil
		}

		if !k.mayRetry(err) || !waitForRetry(ctx, err) {
			return reply, k.finalFailure(err)
		}

		k.lastFailure = err
	}

	return nil, k.finalFailure(k.lastFailure)
}

// waitForRetry waits for the delay in f. It returns false if the deadline of
// the request is earlier.
func waitForRetry(ctx context.Context, f *carobward.Failure) bool {
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

// ErrLookup means that no entry VM answered the lookup.
const ErrLookup = errors.ConstError("caller: no entry VM answered which addresses to use")
