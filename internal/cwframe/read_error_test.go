package cwframe

import (
	"net"
	"os"
	"testing"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// TestReadErrorStatus guards against a caller that is told its request is malformed when it only took too
// long to arrive, or is too large: what it may do about that differs.
func TestReadErrorStatus(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"too slow":     {&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, fasthttp.StatusRequestTimeout},
		"wrapped":      {errors.Annotate(os.ErrDeadlineExceeded, "body"), fasthttp.StatusRequestTimeout},
		"other coding": {fasthttp.ErrUnsupportedTransferEncoding, fasthttp.StatusNotImplemented},
		"large body":   {fasthttp.ErrBodyTooLarge, fasthttp.StatusRequestEntityTooLarge},
		"large header": {&fasthttp.ErrSmallBuffer{}, fasthttp.StatusRequestHeaderFieldsTooLarge},
		"malformed":    {errors.New("no colon"), fasthttp.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ReadErrorStatus(c.err); got != c.want {
				t.Errorf("status %d, want %d", got, c.want)
			}
		})
	}
}
