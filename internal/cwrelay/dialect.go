package cwrelay

import (
	"strings"
	"time"

	"carobward.example/carobward"
)

// dialect is the protocol between entry VMs. All that identifies a request is in Header.
type dialect struct{}

// isHeader reports whether a field is Header.
func isHeader(f carobward.Field) bool { return strings.EqualFold(f.Name, Header) }

// Fields implements carobward.Dialect: the caller of the link adds Header itself.
func (dialect) Fields(*carobward.Call, time.Duration, func(name, value string)) {}

// Read checks that a reply belongs to a request.
func (dialect) Read(c *carobward.Call, r *carobward.Reply, _ time.Time) error {
	if c.HealthCheck {
		return nil
	}

	result, err := DecodeResult(r.Header.Get(Header))

	switch {
	case err != nil:
		return err
	case result.ID != c.ID:
		return carobward.ErrOtherRequest
	default:
		return nil
	}
}

// AllowsUnframed returns false: entry VMs state the length of each reply.
func (dialect) AllowsUnframed() bool { return false }

// AllowsExtraReply returns false: entry VMs answer each request once.
func (dialect) AllowsExtraReply() bool { return false }
