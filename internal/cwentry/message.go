package cwentry

import (
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// The errors of a request that is refused.
const (
	ErrTimeout = errors.ConstError("entry: the timeout header holds no whole number of milliseconds above zero")
	ErrBody    = errors.ConstError("entry: the body is larger than the target allows")
)

// own lists the fields that this package writes itself, as the HTTP library
// spells them.
var own = map[string]bool{
	"X-Request-Id":       true,
	"Carobward-Timeout":  true,
	"Carobward-Ticket":   true,
	"Carobward-Verdict":  true,
	"Carobward-Attempt":  true,
	"Carobward-Vm":       true,
	"Carobward-Server":   true,
	"Carobward-Retry-Ms": true,
	"Carobward-Report":   true,
	// The load is between the server and us.
	"Endpoint-Load-Metrics": true,
}

// hop tells whether a field is not passed on.
func hop(name string) bool { return cwframe.HopByHop(name) || own[name] }

// call returns the request as it goes to a server, under its path and query.
// Nothing in it refers to the library's buffers, so that it may outlive the
// handler.
func (c *Carrier) call(ctx *fasthttp.RequestCtx, target *carobward.Target, uri string, body []byte) (*carobward.Call, error) {
	within, err := timeout(ctx, target)
	if err != nil {
		return nil, err
	}

	// A trailer came with the body.
	if err := checkTrailer(ctx); err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err)
	}

	return &carobward.Call{
		Method:   string(ctx.Method()),
		URI:      uri,
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
	named := ctx.Request.Header.PeekAll(fasthttp.HeaderConnection)

	return cwframe.Copy(ctx.Request.Header.All(), func(name []byte) bool {
		return !hop(string(name)) && !nominated(named, name)
	})
}

// nominated tells whether Connection fields name a field as theirs.
func nominated(connection [][]byte, name []byte) bool {
	for _, value := range connection {
		for option := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(option), name) {
				return true
			}
		}
	}

	return false
}

func (c *Carrier) writeReply(ctx *fasthttp.RequestCtx, id carobward.RequestID, a *answer) {
	resp := &ctx.Response
	resp.SetStatusCode(a.reply.Status)

	var named [][]byte

	for i := range a.reply.Header {
		if f := &a.reply.Header[i]; f.Name == fasthttp.HeaderConnection {
			named = append(named, []byte(f.Value))
		}
	}

	for i := range a.reply.Header {
		f := &a.reply.Header[i]
		if !hop(f.Name) && !nominated(named, []byte(f.Name)) {
			resp.Header.Add(f.Name, f.Value)
		}
	}

	c.writeCommon(resp, id, carobward.Ran)
	resp.Header.Set(carobward.HeaderServer, string(a.server))
	resp.SetBodyRaw(a.reply.Body)

	// A reply to HEAD names the length that it leaves out.
	if ctx.IsHead() {
		if n, err := strconv.Atoi(a.reply.Header.Get(fasthttp.HeaderContentLength)); err == nil {
			resp.Header.SetContentLength(n)
		}
	}
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

	if f.Verdict == carobward.Unknown && f.Attempt == carobward.NotRun {
		resp.Header.Set(carobward.HeaderAttempt, f.Attempt.String())
	}

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
