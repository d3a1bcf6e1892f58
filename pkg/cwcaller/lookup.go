package cwcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// endpoint has the addresses of an entry VM for requests and for lookups.
type endpoint struct {
	Address carobward.Address `json:"address"`
	Lookup  carobward.Address `json:"lookup"`
}

// lookupReply is the reply of an entry VM to a lookup: which entry VMs to
// use, how long the reply may be kept in seconds, and a ticket prefix.
type lookupReply struct {
	Use    []endpoint `json:"use"`
	Keep   int        `json:"keep"`
	Width  int        `json:"width"`
	Ticket string     `json:"ticket"`
}

// lookupCache keeps the last lookup reply and refreshes it.
type lookupCache struct {
	options *Options
	clock   carobward.Clock
	http    *fasthttp.Client

	mutex      sync.Mutex
	reply      lookupReply
	refreshed  time.Time
	refreshing bool
	// prefixes has the ticket prefix of each entry VM by its lookup address.
	prefixes   map[carobward.Address]string
	lastNumber uint64
}

func newLookupCache(o *Options, clock carobward.Clock, h *fasthttp.Client) *lookupCache {
	return &lookupCache{options: o, clock: clock, http: h}
}

// lookupTimeout is the timeout of one lookup. A refresh starts when
// refreshNumerator/refreshDenominator of the time for which the reply may be
// kept is over, so that the new reply arrives before the old one expires.
const (
	lookupTimeout      = time.Second
	refreshNumerator   = 3
	refreshDenominator = 4
)

// endpoints returns the endpoints to use. It returns expired ones while no
// entry VM answers a lookup.
func (c *lookupCache) endpoints(ctx context.Context) ([]endpoint, error) {
	c.mutex.Lock()
	empty := len(c.reply.Use) == 0
	stale := !c.refreshing && c.mustRefresh()
	c.refreshing = c.refreshing || stale
	c.mutex.Unlock()

	switch {
	case empty:
		if err := c.refresh(ctx); err != nil {
			return nil, err
		}
	case stale:
		go func() { _ = c.refresh(context.WithoutCancel(ctx)) }()
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.reply.Use, nil
}

// mustRefresh reports whether it is time to refresh the lookup reply.
func (c *lookupCache) mustRefresh() bool {
	keep := time.Duration(c.reply.Keep) * time.Second

	return c.clock.Now().Sub(c.refreshed) >= keep/refreshDenominator*refreshNumerator
}

// refresh looks up the endpoints and stores the reply.
func (c *lookupCache) refresh(ctx context.Context) error {
	c.mutex.Lock()
	old := c.reply.Use
	c.mutex.Unlock()

	a, err := c.query(ctx, old)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.refreshing = false
	if err != nil {
		return err
	}

	c.reply, c.refreshed = a, c.clock.Now()
	c.prefixes = map[carobward.Address]string{}

	return nil
}

// newTicket returns a new ticket of the entry VM to which the request will be
// sent, so that it does not have to forward the request to the owner of the
// ticket. The ticket is empty if the entry VM returns no ticket prefix.
func (c *lookupCache) newTicket(ctx context.Context, at endpoint) string {
	c.mutex.Lock()
	prefix := c.prefixes[at.Lookup]
	c.lastNumber++
	number := c.lastNumber
	c.mutex.Unlock()

	if prefix == "" {
		a, _ := c.queryOne(ctx, at.Lookup)
		prefix = a.Ticket
	}

	if prefix == "" {
		return ""
	}

	c.mutex.Lock()
	c.prefixes[at.Lookup] = prefix
	c.mutex.Unlock()

	return prefix + "." + strconv.FormatUint(number, 10)
}

// forgetPrefix removes the prefix of a ticket under which no attempt has run.
func (c *lookupCache) forgetPrefix(ticket string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for address, prefix := range c.prefixes {
		if strings.HasPrefix(ticket, prefix+".") {
			delete(c.prefixes, address)
		}
	}
}

// query looks up the endpoints, first at the entry VMs in the last reply,
// then at those in the options.
func (c *lookupCache) query(ctx context.Context, old []endpoint) (lookupReply, error) {
	var addresses []carobward.Address

	for _, e := range old {
		addresses = append(addresses, e.Lookup)
	}

	for _, address := range append(addresses, c.options.Lookup...) {
		if a, ok := c.queryOne(ctx, address); ok && len(a.Use) > 0 {
			return a, nil
		}
	}

	return lookupReply{}, ErrLookup
}

// queryOne looks up the endpoints at one entry VM. It reports whether there
// was a valid reply.
func (c *lookupCache) queryOne(ctx context.Context, at carobward.Address) (lookupReply, bool) {
	c.mutex.Lock()
	width := c.reply.Width
	c.mutex.Unlock()

	query := url.Values{
		"caller": {c.options.Caller},
		"domain": {string(c.options.Domain)},
		"target": {string(c.options.Target)},
		"width":  {strconv.Itoa(width)},
	}.Encode()

	end := c.clock.Now().Add(lookupTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}

	status, body, err := c.http.GetDeadline(nil, "http://"+string(at)+"/addresses?"+query, end)
	if err != nil || status != fasthttp.StatusOK {
		return lookupReply{}, false
	}

	var a lookupReply
	if err := json.Unmarshal(body, &a); err != nil {
		return lookupReply{}, false
	}

	return a, true
}
