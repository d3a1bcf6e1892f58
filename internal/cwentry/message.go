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

// Errors of a request that is refused.
const (
	ErrTimeout  = errors.ConstError("entry: the timeout header holds no whole number of milliseconds above zero")
	ErrBodySize = errors.ConstError("entry: the body is larger than the target allows")
)

// ownFields lists the header fields that are not forwarded because carobward
// sets or consumes them itself, in the HTTP library's canonical form.
var ownFields = map[string]bool{
	"X-Request-Id":       true,
	"Carobward-Timeout":  true,
	"Carobward-Ticket":   true,
	"Carobward-Verdict":  true,
	"Carobward-Attempt":  true,
	"Carobward-Vm":       true,
	"Carobward-Server":   true,
	"Carobward-Retry-Ms": true,
	"Carobward-Report":   true,
	// The load report is for the entry VM only.
	"Endpoint-Load-Metrics": true,
}

// notForwarded reports whether a header field is not forwarded.
func notForwarded(name string) bool { return cwframe.HopByHop(name) || ownFields[name] }

// newCall returns the request as it is sent to a server, with the path and query
// of uri. It doesn't refer to the HTTP library's buffers, so that it may outlive
// the handler.
func (fw *Forwarder) newCall(ctx *fasthttp.RequestCtx, target *carobward.Target, uri string, body []byte) (*carobward.Call, error) {
	limit, err := timeout(ctx, target)
	if err != nil {
		return nil, err
	}

	// The trailer is known only after the body has been read.
	if err := checkTrailer(ctx); err != nil {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, err)
	}

	return &carobward.Call{
		Method:   string(ctx.Method()),
		URI:      uri,
		Host:     string(ctx.Host()),
		Header:   requestHeader(ctx),
		Body:     carobward.BodyOf(body),
		Deadline: fw.clock.Now().Add(limit),
		MaxReply: target.Body,
		Fresh:    target.Promise == carobward.Once,
	}, nil
}

// timeout returns the caller's timeout, limited to the target's.
func timeout(ctx *fasthttp.RequestCtx, target *carobward.Target) (time.Duration, error) {
	limit := target.Within.Std()

	text := string(ctx.Request.Header.Peek(carobward.HeaderTimeout))
	if text == "" {
		return limit, nil
	}

	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n == 0 {
		return 0, carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrTimeout)
	}

	return min(limit, time.Duration(n)*time.Millisecond), nil
}

func requestHeader(ctx *fasthttp.RequestCtx) carobward.Header {
	connection := ctx.Request.Header.PeekAll(fasthttp.HeaderConnection)

	return cwframe.Copy(ctx.Request.Header.All(), func(name []byte) bool {
		return !notForwarded(string(name)) && !isConnectionOption(connection, name)
	})
}

// isConnectionOption reports whether the values of the Connection fields list a
// header field.
func isConnectionOption(connection [][]byte, name []byte) bool {
	for _, value := range connection {
		for option := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(option), name) {
				return true
			}
		}
	}

	return false
}

func (fw *Forwarder) writeReply(ctx *fasthttp.RequestCtx, id carobward.RequestID, a *answer) {
	resp := &ctx.Response
	resp.SetStatusCode(a.reply.Status)

	var connection [][]byte

	for i := range a.reply.Header {
		if f := &a.reply.Header[i]; f.Name == fasthttp.HeaderConnection {
			connection = append(connection, []byte(f.Value))
		}
	}

	for i := range a.reply.Header {
		f := &a.reply.Header[i]
		if !notForwarded(f.Name) && !isConnectionOption(connection, []byte(f.Name)) {
			resp.Header.Add(f.Name, f.Value)
		}
	}

	fw.writeCommon(resp, id, carobward.Ran)
	resp.Header.Set(carobward.HeaderServer, string(a.server))
	resp.SetBodyRaw(a.reply.Body)

	// A reply to HEAD has a Content-Length but no body.
	if ctx.IsHead() {
		if n, err := strconv.Atoi(a.reply.Header.Get(fasthttp.HeaderContentLength)); err == nil {
			resp.Header.SetContentLength(n)
		}
	}
}

func (fw *Forwarder) writeCommon(resp *fasthttp.Response, id carobward.RequestID, v carobward.Verdict) {
	resp.Header.Set(carobward.HeaderID, string(id))
	resp.Header.Set(carobward.HeaderVM, string(fw.options.VM))
	resp.Header.Set(carobward.HeaderVerdict, v.String())
}

// problem is the body of a failure response, as defined in RFC 9457.
type problem struct {
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail"`
	Verdict string              `json:"verdict"`
	ID      carobward.RequestID `json:"id"`
}

func (fw *Forwarder) writeFailure(ctx *fasthttp.RequestCtx, id carobward.RequestID, err error) {
	f := &carobward.Failure{}
	if !errors.As(err, &f) {
		f = carobward.NewFailure(carobward.Unknown, fasthttp.StatusInternalServerError, defaultRetry, err)
	}

	resp := &ctx.Response
	resp.SetStatusCode(f.Status)
	fw.writeCommon(resp, id, f.Verdict)
	writeRetry(resp, f.RetryAfter)

	if f.Verdict == carobward.Unknown && f.Attempt == carobward.NotRun {
		resp.Header.Set(carobward.HeaderAttempt, f.Attempt.String())
	}

	body, marshalErr := json.Marshal(problem{
		Title:   fasthttp.StatusMessage(f.Status),
		Status:  f.Status,
		Detail:  f.Cause.Error(),
		Verdict: f.Verdict.String(),
		ID:      id,
	})
	if marshalErr != nil {
		fw.log.Error(marshalErr, "A failure response could not be encoded.")
	}

	resp.Header.SetContentType("application/problem+json")
	resp.SetBodyRaw(body)
}

// writeRetry sets the headers for the time after which to retry: in whole
// seconds, rounded up, and in milliseconds.
func writeRetry(resp *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}

	seconds := (after + time.Second - 1) / time.Second
	resp.Header.Set(carobward.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	resp.Header.Set(carobward.HeaderRetryMillis, strconv.FormatInt(after.Milliseconds(), 10))
}
