package cwframe

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// ReadErrorStatus returns the status for a request that the HTTP library could not read.
func ReadErrorStatus(err error) int {
	var tooSmall *fasthttp.ErrSmallBuffer

	switch {
	case errors.As(err, &tooSmall):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, fasthttp.ErrUnsupportedTransferEncoding):
		return fasthttp.StatusNotImplemented
	case IsTimeout(err):
		return fasthttp.StatusRequestTimeout
	default:
		return fasthttp.StatusBadRequest
	}
}
