package carobward

import "time"

// Dialect is the protocol between entry VMs and servers, as far as it differs
// from one installation to the next: the header fields that name a call, bound
// its time and speak of the server's load. Methods must be safe for use by
// several goroutines.
type Dialect interface {
	// Fields calls add for each field that a call carries for the server. Left
	// is the time until the call's deadline.
	Fields(c *Call, left time.Duration, add func(name, value string))
	// Read takes what a reply's header says of the call and the server and
	// sets the reply's Report, Shed, Instance, Warmup, Limit, Leaving, Pause and Keep. It returns ErrOther for
	// a reply to another call, and another error for one that can't be
	// attributed.
	Read(c *Call, r *Reply, now time.Time) error
	// Unframed tells that a reply may end with its connection. Where it may
	// not, such a reply counts as cut off.
	Unframed() bool
	// Extra tells that a reply to another call may come before the reply to
	// this one, which then still follows.
	Extra() bool
}
