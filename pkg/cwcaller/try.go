package cwcaller

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// try is one request on its way through several attempts.
type try struct {
	client  *Client
	request *Request
	// ticket is the one to use; empty before the first attempt.
	ticket string
	// doubt is set once an attempt under the ticket may have run.
	doubt bool
	// anew is set where no attempt under the ticket can have run, so that the
	// next one takes another ticket.
	anew bool
	// place counts the addresses that failed, of as many as there are.
	place  int
	places int
	failed *carobward.Failure
}

// The pause before the next attempt where the reply does not say it.
const (
	pauseDefault = 500 * time.Millisecond
	pauseMoved   = 5 * time.Millisecond
	pauseRound   = 100 * time.Millisecond
)

// next makes one attempt.
func (t *try) next(ctx context.Context) (*Reply, *carobward.Failure) {
	use, err := t.client.book.lines(ctx)
	if err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, pauseDefault, err)
	}

	t.places = len(use)
	to := use[t.place%len(use)]

	if t.request.Once && t.ticket == "" {
		t.ticket = t.client.book.ticket(ctx, to)
	}

	t.anew = false

	reply, err := t.client.send(ctx, to.Address, t, len(use) > 1)
	if err != nil {
		return nil, t.lost(err)
	}

	v := carobward.ParseVerdict(reply.Header.Get(carobward.HeaderVerdict))
	if v == carobward.Ran {
		return reply, nil
	}

	t.answered(v, reply)

	cause := errors.Errorf("caller: %s", reply.Body)

	return reply, carobward.NewFailure(v, reply.Status, pause(reply), cause)
}

// lost handles an attempt without a reply: the next address is tried.
func (t *try) lost(err error) *carobward.Failure {
	t.place++

	after := pauseMoved
	if t.place%t.places == 0 {
		after = pauseRound
	}

	var d dialError
	if errors.As(err, &d) {
		t.renew()

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, after, err)
	}

	t.doubt = true

	return carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, after, err)
}

// answered takes the ticket that a reply names, and notes what a failure
// means for it. A not-run that names a new ticket closes the old one, so that
// earlier attempts under it have not run either. Without one it speaks for
// this attempt only, as does the attempt's own verdict.
func (t *try) answered(v carobward.Verdict, reply *Reply) {
	next := reply.Header.Get(carobward.HeaderTicket)
	attempt := carobward.ParseVerdict(reply.Header.Get(carobward.HeaderAttempt))
	closes := v == carobward.NotRun && next != "" && next != t.ticket

	switch {
	case closes:
		t.doubt = false
	case v != carobward.NotRun && attempt != carobward.NotRun:
		t.doubt = true
	}

	if t.request.Once && next != "" {
		t.ticket = next
	}

	if !closes {
		t.renew()
	}

	if reply.Status == fasthttp.StatusServiceUnavailable {
		t.place++
	}
}

// renew lets the next attempt take a ticket of the entry VM that it goes to,
// if none under this one can have run: its owner may be gone.
func (t *try) renew() {
	if t.request.Once && !t.doubt {
		t.client.book.forget(t.ticket)
		t.ticket, t.anew = "", true
	}
}

// again tells whether the request may be sent again after a failure.
func (t *try) again(f *carobward.Failure) bool {
	if f.Verdict == carobward.Ran || (final[f.Status] && (!t.anew || f.Status != fasthttp.StatusGone)) {
		return false
	}

	if !t.doubt || t.request.Once {
		return !t.doubt || t.ticket != ""
	}

	return idempotent[t.request.Method]
}

// final has the statuses after which trying again is useless: the request is
// wrong, or the outcome will never be known.
var final = map[int]bool{
	fasthttp.StatusBadRequest:            true,
	fasthttp.StatusNotFound:              true,
	fasthttp.StatusGone:                  true,
	fasthttp.StatusRequestEntityTooLarge: true,
	fasthttp.StatusUnprocessableEntity:   true,
}

// idempotent has the methods that may be sent again, RFC 9110, 9.2.2.
var idempotent = map[string]bool{
	"":                     true,
	fasthttp.MethodGet:     true,
	fasthttp.MethodHead:    true,
	fasthttp.MethodOptions: true,
	fasthttp.MethodTrace:   true,
	fasthttp.MethodPut:     true,
	fasthttp.MethodDelete:  true,
}

// verdict makes the last failure speak for all attempts.
func (t *try) verdict(f *carobward.Failure) *carobward.Failure {
	switch {
	case t.doubt && f.Verdict == carobward.NotRun:
		f.Verdict = carobward.Unknown
	case t.anew && f.Verdict == carobward.Unknown:
		f.Verdict = carobward.NotRun
	}

	return f
}

// pause returns when the reply asks to come back.
func pause(r *Reply) time.Duration {
	if n, err := strconv.ParseUint(r.Header.Get(carobward.HeaderRetryMillis), 10, 31); err == nil {
		return time.Duration(n) * time.Millisecond
	}

	if n, err := strconv.ParseUint(r.Header.Get(carobward.HeaderRetryAfter), 10, 31); err == nil {
		return time.Duration(n) * time.Second
	}

	return pauseDefault
}

// attemptLeast is the least time that an attempt gets.
const attemptLeast = 100 * time.Millisecond

// send makes one attempt at one address. Where there are others it gets half
// of the time that is left, so that a silent entry VM does not take it all.
func (c *Client) send(ctx context.Context, to carobward.Address, t *try, others bool) (*Reply, error) {
	now := c.clock.Now()

	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(c.options.Timeout)
	}

	left := end.Sub(now)
	if half := left / 2; others && half > attemptLeast {
		left = half
	}

	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	fill(req, to, t)
	req.Header.Set(carobward.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))

	h := c.http
	if t.request.Once {
		h = c.fresh
		req.SetConnectionClose()
	}

	if err := h.DoDeadline(req, resp, now.Add(left)); err != nil {
		return nil, err
	}

	reply := &Reply{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	for k, v := range resp.Header.All() {
		reply.Header = append(reply.Header, carobward.Field{Name: string(k), Value: string(v)})
	}

	return reply, nil
}

func fill(req *fasthttp.Request, to carobward.Address, t *try) {
	r := t.request

	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + string(to) + r.URI)
	req.SetBody(r.Body)

	for _, f := range r.Header {
		req.Header.Add(f.Name, f.Value)
	}

	if t.ticket != "" {
		req.Header.Set(carobward.HeaderTicket, t.ticket)
	}
}
