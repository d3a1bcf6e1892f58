package carobward

import "time"

// CallerDialect is the part of the protocol between callers and entry VMs that differs
// between platforms. Its methods must be safe for concurrent use.
type CallerDialect interface {
	// ID returns the id that the caller gave its request, or "". Field returns the value of
	// a header field, or "".
	ID(field func(name string) string) RequestID
	// TimeLeft returns how long the caller still waits for the reply; ok is false if the
	// request does not state it.
	TimeLeft(field func(name string) string) (left time.Duration, ok bool, err error)
	// Key returns the API key of a request, or nil. Field returns the value of a header
	// field.
	Key(field func(name string) []byte) []byte
	// Strips reports whether a field of a request or a reply is not forwarded. The name is
	// in canonical form, such as Content-Length. If keyed is set, the field belongs to a
	// request, and callers authenticate by API key: the field with the key is meant for the
	// entry VM alone.
	Strips(name string, keyed bool) bool
	// ReplyFields calls add for each field that every reply to a caller carries.
	ReplyFields(id RequestID, add func(name, value string))
	// RetryAfter calls add for the fields that tell the caller when to retry.
	RetryAfter(after time.Duration, add func(name, value string))
}

// LookupDialect is the protocol by which callers look up the addresses of entry VMs.
type LookupDialect interface {
	// Domain returns the caller's failure domain, or "". Arg returns the value of a query
	// argument.
	Domain(arg func(name string) string) Domain
	// Region returns the caller's region, or "" if the query has none.
	Region(arg func(name string) string) Region
	// Host returns the host that the caller wants to send requests to.
	Host(arg func(name string) string) string
	// EncodeReply encodes the lookup reply as JSON: the addresses, and how long the caller
	// may cache them.
	EncodeReply(list []Address, keep time.Duration) ([]byte, error)
}
