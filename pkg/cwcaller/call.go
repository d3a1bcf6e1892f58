package cwcaller

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// call is a request that is sent in one or more attempts.
type call struct {
	client  *Client
	request *Request
	// ticket is the ticket of the next attempt. It is empty before the first.
	ticket string
	// mayHaveRun is set once an attempt under the ticket may have run.
	mayHaveRun bool
	// ticketDropped is set if no attempt under the last ticket can have run,
	// so that the next attempt takes a new ticket.
	ticketDropped bool
	// failures counts the attempts without a reply or with status 503. After
	// each of them the next of the addressCount addresses is used.
	failures     int
	addressCount int
	lastFailure  *carobward.Failure
}

// The delay before the next attempt if no reply specifies it: by default, after
// an address without a reply, and after all addresses were without a reply.
const (
	defaultRetryDelay = 500 * time.Millisecond
	nextAddressDelay  = 5 * time.Millisecond
	allFailedDelay    = 100 * time.Millisecond
)

// attempt makes one attempt.
func (k *call) attempt(ctx context.Context) (*Reply, *carobward.Failure) {
	use, err := k.client.lookups.endpoints(ctx)
	if err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetryDelay, err)
	}

	k.addressCount = len(use)
	to := use[k.failures%len(use)]

	if k.request.Once && k.ticket == "" {
		k.ticket = k.client.lookups.newTicket(ctx, to)
	}

	k.ticketDropped = false

	reply, err := k.client.send(ctx, to.Address, k, len(use) > 1)
	if err != nil {
		return nil, k.noReply(err)
	}

	v := carobward.ParseVerdict(reply.Header.Get(carobward.HeaderVerdict))
	if v == carobward.Ran {
		return reply, nil
	}

	k.update(v, reply)

	cause := errors.Errorf("caller: %s", reply.Body)

	return reply, carobward.NewFailure(v, reply.Status, retryDelay(reply), cause)
}

// noReply handles an attempt without a reply. The next attempt uses the next
// address.
func (k *call) noReply(err error) *carobward.Failure {
	k.failures++

	after := nextAddressDelay
	if k.failures%k.addressCount == 0 {
		after = allFailedDelay
	}

	var d dialError
	if errors.As(err, &d) {
		k.dropTicket()

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, after, err)
	}

	k.mayHaveRun = true

	return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, after, err)
}

// update stores the ticket in a reply and works out what a failure means for
// it. The verdict not-run with a new ticket closes the old one, which means
// that earlier attempts under it have not run either. Without a new ticket,
// the verdict applies to this attempt only, as does the verdict of the
// attempt in its own header field.
func (k *call) update(v carobward.Verdict, reply *Reply) {
	next := reply.Header.Get(carobward.HeaderTicket)
	attempt := carobward.ParseVerdict(reply.Header.Get(carobward.HeaderAttempt))
	closes := v == carobward.NotRun && next != "" && next != k.ticket

	switch {
	case closes:
		k.mayHaveRun = false
	case v != carobward.NotRun && attempt != carobward.NotRun:
		k.mayHaveRun = true
	}

	if k.request.Once && next != "" {
		k.ticket = next
	}

	if !closes {
		k.dropTicket()
	}

	if reply.Status == fasthttp.StatusServiceUnavailable {
		k.failures++
	}
}

// dropTicket makes the next attempt take a new ticket of the entry VM to
// which it is sent, if no attempt under the current ticket can have run: the
// owner of the current ticket may be unavailable.
func (k *call) dropTicket() {
	if k.request.Once && !k.mayHaveRun {
		k.client.lookups.forgetPrefix(k.ticket)
		k.ticket, k.ticketDropped = "", true
	}
}

// mayRetry reports whether the request may be sent again after a failure.
func (k *call) mayRetry(f *carobward.Failure) bool {
	if f.Verdict == carobward.Ran || (permanentStatuses[f.Status] && (!k.ticketDropped || f.Status != fasthttp.StatusGone)) {
		return false
	}

	if !k.mayHaveRun || k.request.Once {
		return !k.mayHaveRun || k.ticket != ""
	}

	return idempotentMethods[k.request.Method]
}

// permanentStatuses has the statuses after which a retry is useless: the
// request is invalid, or the outcome will never be known.
var permanentStatuses = map[int]bool{
	fasthttp.StatusBadRequest:            true,
	fasthttp.StatusNotFound:              true,
	fasthttp.StatusGone:                  true,
	fasthttp.StatusRequestEntityTooLarge: true,
	fasthttp.StatusUnprocessableEntity:   true,
}

// idempotentMethods has the idempotent methods (RFC 9110, section 9.2.2). The
// empty method means GET.
var idempotentMethods = map[string]bool{
	"":                     true,
	fasthttp.MethodGet:     true,
	fasthttp.MethodHead:    true,
	fasthttp.MethodOptions: true,
	fasthttp.MethodTrace:   true,
	fasthttp.MethodPut:     true,
	fasthttp.MethodDelete:  true,
}

// finalFailure returns the last failure with the verdict for all attempts.
func (k *call) finalFailure(f *carobward.Failure) *carobward.Failure {
	switch {
	case k.mayHaveRun && f.Verdict == carobward.NotRun:
		f.Verdict = carobward.Unknown
	case k.ticketDropped && f.Verdict == carobward.Unknown:
		f.Verdict = carobward.NotRun
	}

	return f
}

// retryDelay returns the delay before the next attempt that a reply requests.
func retryDelay(r *Reply) time.Duration {
	if n, err := strconv.ParseUint(r.Header.Get(carobward.HeaderRetryMillis), 10, 31); err == nil {
		return time.Duration(n) * time.Millisecond
	}

	if n, err := strconv.ParseUint(r.Header.Get(carobward.HeaderRetryAfter), 10, 31); err == nil {
		return time.Duration(n) * time.Second
	}

	return defaultRetryDelay
}

// minAttemptTime is the minimum time for an attempt, unless the request has
// less left.
const minAttemptTime = 100 * time.Millisecond

// send makes one attempt at one address. If there are other addresses, the
// attempt gets half of the remaining time, so that an unresponsive entry VM
// does not use all of it.
func (c *Client) send(ctx context.Context, to carobward.Address, k *call, others bool) (*Reply, error) {
	now := c.clock.Now()

	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(c.options.Timeout)
	}

	left := end.Sub(now)
	if half := left / 2; others && half > minAttemptTime {
		left = half
	}

	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	fillRequest(req, to, k)
	req.Header.Set(carobward.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))

	h := c.http
	if k.request.Once {
		h = c.unpooled
		req.SetConnectionClose()
	}

	if err := h.DoDeadline(req, resp, now.Add(left)); err != nil {
		return nil, err
	}

	reply := &Reply{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for name, value := range resp.Header.All() {
		reply.Header = append(reply.Header, carobward.Field{Name: string(name), Value: string(value)})
	}

	return reply, nil
}

func fillRequest(req *fasthttp.Request, to carobward.Address, k *call) {
	r := k.request

	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + string(to) + r.URI)
	req.SetBody(r.Body)

	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}

	if k.ticket != "" {
		req.Header.Set(carobward.HeaderTicket, k.ticket)
	}
}
