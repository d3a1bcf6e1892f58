package cwentry

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// findTarget returns the target of a request. It matches the request line as the
// caller sent it, since that is what the server receives; the path as normalized
// by the HTTP library may belong to another target.
func (fw *Forwarder) findTarget(host, method, uri string) (*carobward.Target, error) {
	if fw.holder.Revision() == 0 {
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetry, ErrNoConfig)
	}

	target, err := fw.holder.Targets().Find(host, method, uri)
	if err == nil {
		return target, nil
	}

	status := fasthttp.StatusBadRequest
	if errors.Is(err, cwtarget.ErrNoTarget) {
		status = fasthttp.StatusNotFound
	}

	return nil, carobward.NewFailure(carobward.NotRun, status, 0, errors.Annotate(err, "target"))
}
