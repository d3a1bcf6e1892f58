package cwload

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
)

// caller is one caller, whose workers share its lookup reply and connections.
type caller struct {
	load *Load
	name string
	http *fasthttp.Client

	mutex   sync.Mutex
	target  carobward.Address
	expires time.Time
}

func (c *caller) work(charge bool) {
	for {
		select {
		case <-c.load.stop:
			return
		default:
		}

		to := c.address()
		if to == "" {
			<-time.After(retryDelay)

			continue
		}

		c.request(to, charge)
	}
}

// address returns the first address of the cached lookup reply, or of a new one
// if that has expired. It returns "" if no lookup succeeds.
func (c *caller) address() carobward.Address {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if time.Now().Before(c.expires) {
		return c.target
	}

	q := url.Values{"domain": {string(c.load.options.Domain)}, "caller": {c.name}}

	for _, l := range c.load.options.Lookup {
		status, body, err := c.http.GetTimeout(nil, fmt.Sprintf("http://%s/addresses?%s", l, q.Encode()), lookupTimeout)

		var a cwlookup.Reply
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &a) == nil && len(a.Use) > 0 {
			c.target, c.expires = a.Use[0].Address, time.Now().Add(time.Duration(a.Keep)*time.Second)

			return c.target
		}
	}

	return ""
}

func (c *caller) request(to carobward.Address, charge bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	path := c.load.options.Read

	if charge {
		path = c.load.options.Charge
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(c.load.body())
	}

	req.SetRequestURI(fmt.Sprintf("http://%s%s", to, path))

	err := c.http.DoTimeout(req, resp, requestTimeout)

	switch {
	case err != nil:
		c.load.fail(fmt.Sprintf("%s: %v", to, err))
	case resp.StatusCode() != fasthttp.StatusOK:
		c.load.fail(fmt.Sprintf("%s: %d %s", to, resp.StatusCode(), resp.Body()))
	default:
		c.load.answered(carobward.VMID(resp.Header.Peek(carobward.HeaderVM)), charge)
	}
}
