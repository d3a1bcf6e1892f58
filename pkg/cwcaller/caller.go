// Package cwcaller is the callers' library: it asks the entry VMs which
// addresses to use, keeps the answer, and sends requests there.
package cwcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"sync"
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
	// Lookup lists addresses of entry VMs' lookup listeners.
	Lookup []carobward.Address
	// Timeout bounds a request whose context has no deadline.
	Timeout time.Duration
}

// Request is one request.
type Request struct {
	Method string
	URI    string
	Header carobward.Header
	Body   []byte
}

// Reply is a whole reply.
type Reply struct {
	Status int
	Header carobward.Header
	Body   []byte
}

type answer struct {
	Use []struct {
		Address carobward.Address `json:"address"`
	} `json:"use"`
	Keep   int    `json:"keep"`
	Ticket string `json:"ticket"`
}

// Client sends requests. It may be used by many goroutines.
type Client struct {
	options Options
	clock   carobward.Clock
	http    *fasthttp.Client

	mutex sync.Mutex
	kept  answer
	until time.Time
}

// ErrLookup tells that no entry VM answered which addresses to use.
const ErrLookup = errors.ConstError("caller: no entry VM answered which addresses to use")

// New returns a client.
func New(o Options, clock carobward.Clock) *Client {
	return &Client{options: o, clock: clock, http: &fasthttp.Client{
		Name:                      "cwcaller",
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Do sends a request once. The error is a Failure whose verdict says whether
// the request may have run.
func (c *Client) Do(ctx context.Context, r *Request) (*Reply, error) {
	use, err := c.addresses()
	if err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, time.Second, err)
	}

	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = c.clock.Now().Add(c.options.Timeout)
	}

	return c.send(use[0], r, deadline)
}

func (c *Client) send(to carobward.Address, r *Request, deadline time.Time) (*Reply, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + string(to) + r.URI)
	req.SetBody(r.Body)

	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}

	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, time.Second, err)
	}

	reply := &Reply{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for k, v := range resp.Header.All() {
		reply.Header = append(reply.Header, carobward.Field{Name: string(k), Value: string(v)})
	}

	if v := carobward.ParseVerdict(reply.Header.Get(carobward.HeaderVerdict)); v != carobward.Ran {
		return reply, carobward.NewFailure(v, reply.Status, time.Second, errors.Errorf("caller: %s", reply.Body))
	}

	return reply, nil
}

// addresses returns the kept answer or asks for a new one.
func (c *Client) addresses() ([]carobward.Address, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if now := c.clock.Now(); now.After(c.until) {
		a, err := c.ask()
		if err != nil {
			return nil, err
		}

		c.kept, c.until = a, now.Add(time.Duration(a.Keep)*time.Second)
	}

	var use []carobward.Address
	for _, u := range c.kept.Use {
		use = append(use, u.Address)
	}

	return use, nil
}

func (c *Client) ask() (answer, error) {
	query := url.Values{"caller": {c.options.Caller}, "domain": {string(c.options.Domain)}}.Encode()

	for _, l := range c.options.Lookup {
		status, body, err := c.http.GetTimeout(nil, "http://"+string(l)+"/addresses?"+query, time.Second)
		if err != nil || status != fasthttp.StatusOK {
			continue
		}

		var a answer
		if err := json.Unmarshal(body, &a); err == nil && len(a.Use) > 0 {
			return a, nil
		}
	}

	return answer{}, ErrLookup
}
