package cwtrial

import (
	"context"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
)

// Answer is the result of a call: a whole body, or else a verdict.
type Answer struct {
	Body    string
	Whole   bool
	Verdict carobward.Verdict
}

// Sender sends one call to a server.
type Sender func(to carobward.Address, id string) Answer

// ViaLink sends calls through a Link.
func ViaLink(l *cwlink.Link) Sender {
	return func(to carobward.Address, id string) Answer {
		reply, err := l.Exchange(context.Background(), to, NewCall(carobward.RequestID(id)))

		switch {
		case err != nil:
			return Answer{Verdict: carobward.VerdictOf(err)}
		case reply.Shed:
			return Answer{Verdict: carobward.NotRun}
		default:
			return Answer{Body: string(reply.Body), Whole: true}
		}
	}
}

// ViaLibrary sends calls through the HTTP library's client with its default
// settings.
func ViaLibrary(c *fasthttp.Client) Sender {
	return func(to carobward.Address, id string) Answer {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)

		req.SetRequestURI("http://" + string(to) + "/")
		req.Header.Set(carobward.HeaderID, id)

		if err := c.DoTimeout(req, resp, callTimeout); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			return Answer{Verdict: carobward.Unknown}
		}

		return Answer{Body: string(resp.Body()), Whole: true}
	}
}
