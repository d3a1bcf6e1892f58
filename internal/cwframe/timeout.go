package cwframe

import (
	"os"
	"strings"

	"github.com/juju/errors"
)

// IsTimeout reports whether reading or writing a message exceeded its deadline. The
// HTTP library does not wrap the cause of some errors, so their text is checked as
// well.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}

	return strings.Contains(err.Error(), os.ErrDeadlineExceeded.Error())
}
