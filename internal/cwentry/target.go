package cwentry

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// target returns the target that a request belongs to. It takes the request
// line as the caller sent it, since that is what goes to the server; the
// library's own cleaned path may belong to another target.
func (c *Carrier) target(host, method, uri string) (*carobward.Target, error) {
	if c.holder.Revision() == 0 {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrNew)
	}

	target, err := c.holder.Targets().Find(host, method, uri)
	if err == nil {
		return target, nil
	}

	status := fasthttp.StatusBadRequest
	if errors.Is(err, cwtarget.ErrNoTarget) {
		status = fasthttp.StatusNotFound
	}

	return nil, carobward.NewFailure(carobward.NotRun, status, 0, errors.Annotate(err, "target"))
}
