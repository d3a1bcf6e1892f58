package carobward

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
)

// Report is a load report of a server.
type Report struct {
	// At is when the report arrived.
	At time.Time
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Running is how many requests ran when the report was made.
	Running int
	// Queued is how many requests waited for a slot.
	Queued int
	// Draining is set if the server takes no new work.
	Draining bool
	// Run identifies the server's run and rises with each start; 0 if the server reports
	// none.
	Run uint64
	// Slowness is how many times longer than usual work takes on the server's machine now;
	// 0 if the server does not report it.
	Slowness float64
}

// Call is a request in the form in which it is sent to a server.
type Call struct {
	// ID identifies this attempt. The server must repeat it in the reply.
	ID RequestID
	// Method, URI and Host are the request line and the Host header.
	Method string
	URI    string
	Host   string
	// Header has the caller's end-to-end headers.
	Header Header
	// Body is the complete body.
	Body Body
	// Deadline is when the call is abandoned.
	Deadline time.Time
	// WorkLimit is when the server is to stop working on it; zero means at the deadline.
	WorkLimit time.Time
	// MaxReply is the maximum size of the reply body.
	MaxReply ByteCount
	// Stream is the minimum length in bytes of a reply body that is streamed to the caller
	// instead of being buffered; 0 means that none is.
	Stream ByteCount
	// NeedsLength is set if a body whose length is known only at its end can't be streamed to
	// the caller.
	NeedsLength bool
	// Fresh asks for a connection from which no reply has been read yet, if a failed write
	// on a reused one would make the verdict Unknown.
	Fresh bool
	// WantReport asks the server for a load report with the reply.
	WantReport bool
	// Instance is the only run of the server that may do the work; another one at the same
	// address refuses. Empty means any.
	Instance Instance
	// Team is the caller's team; empty if unknown.
	Team TeamName
	// HealthCheck marks a health check, which is no caller's request and has no id.
	HealthCheck bool
}

// TimeLeft returns how long the server may work on the call.
func (c *Call) TimeLeft(now time.Time) time.Duration {
	if c.WorkLimit.IsZero() {
		return c.Deadline.Sub(now)
	}

	return c.WorkLimit.Sub(now)
}

// Reply is a complete reply of a server.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header has the end-to-end headers.
	Header Header
	// Body is the complete body, unless the body is streamed.
	Body []byte
	// Stream is a body that is streamed to the caller; nil if Body has it.
	Stream *Stream
	// Release gives back the memory that was taken for Body, or for the begin of Stream. It is nil if none was
	// taken.
	Release func()
	// Report is the load report of the reply; its At is zero if there is none.
	Report Report
	// Shed is set if the server refused the call before running it.
	Shed bool
	// Unnamed is set if the reply refuses a call and does not name it. It may be that of another call on the
	// connection.
	Unnamed bool
	// Instance is the run of the server that replied, if it is reported.
	Instance Instance
	// Warmup is how much longer the server warms up. HasWarmup is set if the reply reports
	// it.
	Warmup    time.Duration
	HasWarmup bool
	// Limit is the request rate limit that the server states.
	Limit Limit
	// Leaving is whether the server announces that it is leaving. Pause is for how long it
	// wants no requests of this entry VM.
	Leaving LeaveNotice
	Pause   RetryNotice
	// KeepAlive is how long the server keeps an idle connection open; 0 if it does not say.
	KeepAlive time.Duration
}

// Drop releases what a reply holds that is not used. It does nothing if the reply is nil.
func (r *Reply) Drop() {
	if r == nil {
		return
	}

	if r.Stream != nil {
		_ = r.Stream.Close() // Close never returns an error here.
	}

	if r.Release != nil {
		r.Release()
	}
}

// Stream is a reply body that is streamed to the caller. It must be closed. A stream that
// ends before its length returns an error.
type Stream struct {
	io.ReadCloser

	// Length is the body's length in bytes, or UnknownLength.
	Length int
}

// UnknownLength is the length of a streamed body that is known only at its end.
const UnknownLength = -1

// ErrOtherRequest is returned by a Dialect for a reply to another call. The reply to this
// call may still follow.
const ErrOtherRequest = errors.ConstError("the reply is to another request")

// Servers sends calls to servers.
type Servers interface {
	// Exchange sends a call to a server and returns its complete reply, or a Failure. It
	// never sends a call twice. When ctx ends, the call is cancelled by closing its
	// connection.
	Exchange(ctx context.Context, to Address, c *Call) (*Reply, error)
}
