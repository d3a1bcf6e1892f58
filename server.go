package carobward

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// Report is the load that a server reported of itself.
type Report struct {
	// At is when the report reached us.
	At time.Time
	// Slots is how many requests the server runs at once.
	Slots int
	// Running is how many it ran when it made the report.
	Running int
	// Queued is how many waited for a slot.
	Queued int
	// Draining tells that the server takes no new work.
	Draining bool
	// Run numbers the server's runs, rising with each start; 0 where it gives
	// no number.
	Run uint64
	// Slowness is how many times longer than usual work takes on the server's
	// machine now; 0 where the server does not say.
	Slowness float64
}

// Call is one request as it goes to a server.
type Call struct {
	// ID names this attempt. The server must echo it.
	ID RequestID
	// Method, URI and Host are the request line and its Host header.
	Method string
	URI    string
	Host   string
	// Header holds the caller's end-to-end headers.
	Header Header
	// Body holds the whole body.
	Body []byte
	// Deadline is when the call is given up.
	Deadline time.Time
	// MaxReply is the largest reply body in bytes.
	MaxReply ByteCount
	// Stream is the length of a reply's body in bytes from which on it is passed on
	// as it comes; 0: never. A body without a length is always read whole.
	Stream ByteCount
	// Fresh asks for a connection that no reply has been read from, where a
	// failed write on a reused one would make the verdict Unknown.
	Fresh bool
	// Ask asks the server for a load report with the reply.
	Ask bool
	// Instance is the run of a server that alone may do the work; another one
	// at the same address refuses. Empty: any.
	Instance Instance
	// Team is that of the caller; empty: none is known.
	Team TeamName
	// Look marks a health check, which is no caller's request and has no id.
	Look bool
}

// Reply is a server's whole reply.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header Header
	// Body holds the whole body, unless it is passed on as it comes.
	Body []byte
	// Stream is a body that is passed on as it comes; nil where Body holds it.
	Stream *Stream
	// Report is the load report that came along; At is zero if none did.
	Report Report
	// Shed tells that the server refused the call before it began.
	Shed bool
	// Instance is the run of the server that replied, where it says so.
	Instance Instance
	// Warmup is how much longer the server is cold, where SaysWarmup tells that it
	// said so.
	Warmup     time.Duration
	SaysWarmup bool
	// Limit is what the server says of the requests that it takes.
	Limit Limit
	// Leaving is whether it says that it leaves, Pause for how long it wants no requests
	// of this entry VM.
	Leaving LeaveNotice
	Pause   RetryNotice
	// Keep is how long the server keeps an idle connection open; 0 where it
	// does not say.
	Keep time.Duration
}

// Stream is a reply's body that is passed on as it comes. It must be closed. An end
// before its length is an error.
type Stream struct {
	io.ReadCloser

	// Length is the body's length in bytes.
	Length int
}

// ErrOther is the error of a Dialect for a reply that belongs to another call.
// The reply to this call may still follow it.
const ErrOther = errors.ConstError("the reply is to another request")

// Servers carries calls to servers.
type Servers interface {
	// Exchange sends a call to a server and returns its whole reply, or a
	// Failure. It never sends a call twice. When ctx ends the call is
	// cancelled by closing its connection.
	Exchange(ctx context.Context, to Address, c *Call) (*Reply, error)
}
