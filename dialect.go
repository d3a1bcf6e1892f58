package carobward

import "time"

// Dialect is the part of the protocol between entry VMs and servers that differs between
// platforms: the header fields that identify a call, limit its time and report the server's
// load. Its methods must be safe for concurrent use.
type Dialect interface {
	// Fields calls add for each field that a call carries to the server. Left is how
	// long the server may work on the call.
	Fields(c *Call, left time.Duration, add func(name, value string))
	// Read parses the header fields of a reply and sets the reply's Report, Shed, Unnamed,
	// Instance, Warmup, HasWarmup, Limit, Leaving, Pause and KeepAlive. It returns ErrOtherRequest
	// for a reply to another call, and another error for a reply that can't be attributed
	// to a call.
	Read(c *Call, r *Reply, now time.Time) error
	// AllowsUnframed reports whether the end of the connection may mark the end of a reply.
	// If not, such a reply counts as truncated.
	AllowsUnframed() bool
	// AllowsExtraReply reports whether a reply to another call may arrive before the reply
	// to this one, which still follows.
	AllowsExtraReply() bool
}
