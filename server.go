package carobward

import (
	"context"
	"time"
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
	// Fresh asks for a connection that no reply has been read from, where a
	// failed write on a reused one would make the verdict Unknown.
	Fresh bool
	// Ask asks the server for a load report with the reply.
	Ask bool
}

// Reply is a server's whole reply.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header Header
	// Body holds the whole body.
	Body []byte
	// Report is the load report that came along; At is zero if none did.
	Report Report
	// Shed tells that the server refused the call before it began.
	Shed bool
}

// Servers carries calls to servers.
type Servers interface {
	// Exchange sends a call to a server and returns its whole reply, or a
	// Failure. It never sends a call twice. When ctx ends the call is
	// cancelled by closing its connection.
	Exchange(ctx context.Context, to Address, c *Call) (*Reply, error)
}
