package cwframe

import (
	"os"
	"strings"

	"github.com/juju/errors"
)

// IsTimeout tells whether reading or writing a message ran into a deadline.
// The HTTP library hides the cause of some errors, so their text is looked
// at too.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}

	return strings.Contains(err.Error(), os.ErrDeadlineExceeded.Error())
}
