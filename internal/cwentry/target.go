package cwentry

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// target returns the target that a request belongs to. It reads the request
// line as the caller sent it, since that is what goes to the server; the
// library's own cleaned path may belong to another target.
func (c *Carrier) target(ctx *fasthttp.RequestCtx) (*carobward.Target, error) {
	h := &ctx.Request.Header

	target, err := c.holder.Targets().Find(string(h.Host()), string(h.Method()), string(h.RequestURI()))
	if err == nil {
		return target, nil
	}

	status := fasthttp.StatusBadRequest
	if errors.Is(err, cwtarget.ErrNone) {
		status = fasthttp.StatusNotFound
	}

	return nil, carobward.NewFailure(carobward.NotRun, status, 0, err)
}
