package cwrelay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmemory"
)

// Limits of the wait for the answers of entry VMs, and of the connections to them.
const (
	// checkTimeout is how long the answers are waited for: several round trips between failure
	// domains, with a new connection. stragglerTimeout is how long after the first answer.
	checkTimeout     = 80 * time.Millisecond
	stragglerTimeout = 4 * time.Millisecond
	// missTime is for how long no search is made for a service after one has found nobody.
	missTime = 200 * time.Millisecond

	maxConns            = 64
	idleTimeout         = 4 * time.Second
	dialTimeout         = 300 * time.Millisecond
	maxReplyHeaderBytes = 16 * carobward.Kilobyte
)

// ErrNobody is returned if no entry VM is known that takes requests for a service.
const ErrNobody = errors.ConstError("relay: no entry VM is known that reaches a server of the service")

// Need is what an entry VM is searched for.
type Need struct {
	ID      carobward.RequestID
	Service carobward.Service
	// Version is that of this entry VM's configuration. An entry VM with an older one takes no
	// request.
	Version carobward.Version
	// Allowed reports whether the request may go to an entry VM of a failure domain.
	Allowed func(carobward.Domain) bool
}

// Options are the dependencies of a Client.
type Options struct {
	// Self is this entry VM.
	Self carobward.VMID
	// Near returns the entry VMs of this failure domain that take callers and are not known to
	// reach no server of a service. Far returns some of the other failure domains: those that
	// these name, since they reach servers, and others of which less is known.
	Near func(s carobward.Service, now time.Time) []Peer
	Far  func(now time.Time, allowed func(carobward.Domain) bool) (named, others []Peer)
	// Dial opens a connection to a peer.
	Dial func(ctx context.Context, d *net.Dialer, to carobward.Address) (net.Conn, error)
	// Replies is the budget for replies that are held whole; nil means no bound.
	Replies *cwmemory.Budget
	Clock   carobward.Clock
	Log     logr.Logger
}

// Client passes requests to other entry VMs. It is safe for concurrent use.
type Client struct {
	Options

	link *cwlink.Link
	work conc.WaitGroup

	mutex sync.Mutex
	// missed has when a search last found nobody, by service.
	missed map[carobward.Service]time.Time
}

// New returns a client without connections.
func New(o Options) *Client {
	o.Log = o.Log.WithName("relay")

	return &Client{
		Options: o, missed: map[carobward.Service]time.Time{},
		link: cwlink.New(cwlink.Options{
			MaxConns: maxConns, IdleTimeout: idleTimeout, MaxIdleTimeout: idleTimeout, DialTimeout: dialTimeout,
			MaxHeaderSize: maxReplyHeaderBytes, Dialect: dialect{}, Dial: o.Dial, Replies: o.Replies,
		}, o.Clock),
	}
}

// Tick closes connections that have been idle for too long.
func (c *Client) Tick(now time.Time) { c.link.Tick(now) }

// Suspended adds the time for which the VM was suspended to the idle time of connections.
func (c *Client) Suspended(by time.Duration) { c.link.Suspended(by) }

// Wait waits for the searches whose answers are late.
func (c *Client) Wait() { c.work.Wait() }

// Target is an entry VM that takes a request, with the connection over which it said so.
type Target struct {
	Peer
	CheckResult

	conn *cwlink.HeldConn
}

// Release returns the connection. It does nothing if the target is nil.
func (t *Target) Release() {
	if t != nil {
		t.conn.Release()
	}
}

// Find returns an entry VM that takes a request: one of this failure domain, or else one of
// another. It must be released.
func (c *Client) Find(ctx context.Context, n *Need) (*Target, error) {
	now := c.Clock.Now()
	if c.hasMissed(n.Service, now) {
		return nil, ErrNobody
	}

	near := c.Near(n.Service, now)
	if t := c.ask(ctx, n, PickNear(c.Self, near, c.isConnected)); t != nil {
		return t, nil
	}

	named, others := c.Far(c.Clock.Now(), n.Allowed)
	if t := c.ask(ctx, n, PickFar(named, others)); t != nil {
		return t, nil
	}

	if ctx.Err() == nil {
		c.miss(n, len(near), len(named)+len(others))
	}

	return nil, ErrNobody
}

// isConnected reports whether there is an idle connection to an entry VM.
func (c *Client) isConnected(p Peer) bool {
	idle, _ := c.link.ConnState(p.Address)

	return idle
}

func (c *Client) hasMissed(s carobward.Service, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return now.Sub(c.missed[s]) < missTime
}

// miss records that a search has found nobody.
func (c *Client) miss(n *Need, near, far int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.missed[n.Service] = c.Clock.Now()
	c.Log.Info("No entry VM takes requests for the service.", "id", n.ID, "service", n.Service, "near", near, "far", far)
}

// ask asks some entry VMs at once whether they take a request, and returns the one with the
// fewest requests in progress of those that do, or nil.
func (c *Client) ask(ctx context.Context, n *Need, list []Peer) *Target {
	answers := make(chan *Target, len(list))

	for _, p := range list {
		c.work.Go(func() { answers <- c.check(n, p) })
	}

	timer := time.NewTimer(checkTimeout)
	defer timer.Stop()

	var best *Target

	for awaited := len(list); awaited > 0; {
		select {
		case t := <-answers:
			awaited--

			if best == nil && t != nil {
				timer.Reset(stragglerTimeout)
			}

			best = lessBusy(best, t)

			continue
		case <-timer.C:
		case <-ctx.Done():
		}

		c.work.Go(func() {
			for range awaited {
				(<-answers).Release()
			}
		})

		break
	}

	return best
}

// lessBusy returns the target with fewer requests in progress and releases the other one.
func lessBusy(a, b *Target) *Target {
	if a == nil || b != nil && b.InFlight < a.InFlight {
		a, b = b, a
	}

	b.Release()

	return a
}

// check asks one entry VM. It returns nil if that does not take the request.
func (c *Client) check(n *Need, p Peer) *Target {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	t, err := c.exchangeCheck(ctx, n, p, false)
	if err != nil && t != nil && t.conn.Reused() && ctx.Err() == nil { // The peer may have closed the idle connection.
		t.Release()

		t, err = c.exchangeCheck(ctx, n, p, true)
	}

	if err != nil {
		c.Log.Info("An entry VM did not answer whether it takes a request.", "id", n.ID, "service", n.Service, "vm", p.ID, "cause", err.Error())
	}

	if err == nil && t.Taken {
		return t
	}

	t.Release()

	return nil
}

// exchangeCheck asks one entry VM over an idle connection, or over a new one if fresh is set.
// The target is nil if there is no connection.
func (c *Client) exchangeCheck(ctx context.Context, n *Need, p Peer, fresh bool) (*Target, error) {
	until := c.Clock.Now().Add(dialTimeout)

	conn, err := c.link.Hold(ctx, p.Address, until, fresh)
	if err != nil {
		return nil, err
	}

	t := &Target{Peer: p, conn: conn}
	check := Request{VM: c.Self, Version: n.Version, Check: true, Service: n.Service}

	reply, err := conn.Exchange(ctx, &carobward.Call{
		Method: fasthttp.MethodGet, URI: "/", Host: string(p.Address), Header: carobward.Header{{Name: Header, Value: check.Encode()}},
		HealthCheck: true, Deadline: until, MaxReply: carobward.Kilobyte,
	})
	if err != nil {
		return t, err
	}

	got, err := decodeCheckResult(reply.Header.Get(Header))
	if err == nil {
		t.CheckResult = *got
	}

	return t, err
}

// Send passes a request to a target over the connection of its check. The context cancels it
// there, too. The reply lacks the header field. The error is a carobward.Failure.
func (c *Client) Send(ctx context.Context, t *Target, call *carobward.Call, r *Request) (*carobward.Reply, *Result, error) {
	out := *call
	out.Header = append(slices.Clone(call.Header), carobward.Field{Name: Header, Value: r.Encode()})

	reply, err := t.conn.Exchange(ctx, &out)
	if err != nil {
		return nil, nil, err
	}

	// The dialect has decoded it before.
	result, err := DecodeResult(reply.Header.Get(Header))
	if err != nil {
		return nil, nil, carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, 0, err)
	}

	reply.Header = slices.DeleteFunc(reply.Header, isHeader)

	return reply, result, nil
}
