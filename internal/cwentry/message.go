package cwentry

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The errors of a request that is refused.
const (
	ErrTimeout = errors.ConstError("the timeout header holds no whole number of milliseconds above zero")
	ErrBody    = errors.ConstError("the body is larger than the target allows")
)

// hop lists the fields that concern one connection only, RFC 9110, 7.6.1,
// and those that this package writes itself.
var hop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-connection":    true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"host":                true,
	"expect":              true,
	"x-request-id":        true,
	"carobward-timeout":   true,
	"carobward-ticket":    true,
	"carobward-verdict":   true,
	"carobward-vm":        true,
	"carobward-server":    true,
	"carobward-retry-ms":  true,
	// The load is between the server and us.
	"endpoint-load-metrics": true,
}

// idMost bounds a caller's request id in bytes.
const idMost = 128

// requestID returns the caller's request id, or a new one where it gave none
// that is fit.
func requestID(ctx *fasthttp.RequestCtx) carobward.RequestID {
	id := string(ctx.Request.Header.Peek(carobward.HeaderID))
	if id == "" || len(id) > idMost {
		id = strconv.FormatUint(rand.Uint64(), 36)
	}

	return carobward.RequestID(id)
}

// call returns the request as it goes to a server.
func (c *Carrier) call(ctx *fasthttp.RequestCtx, target *carobward.Target) (*carobward.Call, error) {
	within, err := timeout(ctx, target)
	if err != nil {
		return nil, err
	}

	body := ctx.PostBody()
	if int64(len(body)) > int64(target.Body) {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBody)
	}

	return &carobward.Call{
		Method:   string(ctx.Method()),
		URI:      string(ctx.RequestURI()),
		Host:     string(ctx.Host()),
		Header:   requestHeader(ctx),
		Body:     body,
		Deadline: c.clock.Now().Add(within),
		MaxReply: target.Body,
		Fresh:    target.Promise == carobward.Once,
	}, nil
}

// timeout returns the caller's timeout, but not more than the target's.
func timeout(ctx *fasthttp.RequestCtx, target *carobward.Target) (time.Duration, error) {
	most := target.Within.Std()

	text := string(ctx.Request.Header.Peek(carobward.HeaderTimeout))
	if text == "" {
		return most, nil
	}

	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n == 0 {
		return 0, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrTimeout)
	}

	return min(most, time.Duration(n)*time.Millisecond), nil
}

func requestHeader(ctx *fasthttp.RequestCtx) carobward.Header {
	named := connectionNames(string(ctx.Request.Header.Peek(fasthttp.HeaderConnection)))

	var h carobward.Header

	for k, v := range ctx.Request.Header.All() {
		name := string(k)
		if low := strings.ToLower(name); !hop[low] && !named[low] {
			h = append(h, carobward.Field{Name: name, Value: string(v)})
		}
	}

	return h
}

// connectionNames returns the fields that a Connection field names.
func connectionNames(value string) map[string]bool {
	if value == "" {
		return nil
	}

	names := map[string]bool{}
	for n := range strings.SplitSeq(value, ",") {
		names[strings.ToLower(strings.TrimSpace(n))] = true
	}

	return names
}

func (c *Carrier) writeReply(ctx *fasthttp.RequestCtx, id carobward.RequestID, a *answer) {
	resp := &ctx.Response
	resp.SetStatusCode(a.reply.Status)

	named := connectionNames(a.reply.Header.Get(fasthttp.HeaderConnection))

	for _, f := range a.reply.Header {
		if low := strings.ToLower(f.Name); !hop[low] && !named[low] {
			resp.Header.Add(f.Name, f.Value)
		}
	}

	c.writeCommon(resp, id, carobward.Ran)
	resp.Header.Set(carobward.HeaderServer, string(a.server))
	resp.SetBodyRaw(a.reply.Body)
}

func (c *Carrier) writeCommon(resp *fasthttp.Response, id carobward.RequestID, v carobward.Verdict) {
	resp.Header.Set(carobward.HeaderID, string(id))
	resp.Header.Set(carobward.HeaderVM, string(c.options.VM))
	resp.Header.Set(carobward.HeaderVerdict, v.String())
}

// problem is the body of a failure, RFC 9457.
type problem struct {
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail"`
	Verdict string              `json:"verdict"`
	ID      carobward.RequestID `json:"id"`
}

func (c *Carrier) writeFailure(ctx *fasthttp.RequestCtx, id carobward.RequestID, err error) {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		f = carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, retryAfter, err)
	}

	resp := &ctx.Response
	resp.SetStatusCode(f.Status)
	c.writeCommon(resp, id, f.Verdict)
	writeRetry(resp, f.RetryAfter)

	body, merr := json.Marshal(problem{
		Title:   fasthttp.StatusMessage(f.Status),
		Status:  f.Status,
		Detail:  f.Cause.Error(),
		Verdict: f.Verdict.String(),
		ID:      id,
	})
	if merr != nil {
		c.log.Error(merr, "A failure could not be written.")
	}

	resp.Header.SetContentType("application/problem+json")
	resp.SetBodyRaw(body)
}

// writeRetry says when to come back, in whole seconds rounded up and in
// milliseconds.
func writeRetry(resp *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}

	seconds := (after + time.Second - 1) / time.Second
	resp.Header.Set(carobward.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	resp.Header.Set(carobward.HeaderRetryMillis, strconv.FormatInt(after.Milliseconds(), 10))
}
