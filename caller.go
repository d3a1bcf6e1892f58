package carobward

import "time"

// CallerDialect is the protocol between callers and entry VMs, as far as it
// differs from one installation to the next. Methods must be safe for use by
// several goroutines.
type CallerDialect interface {
	// ID returns the id that the caller gave its request, or "". Field returns
	// the value of a header field, or "".
	ID(field func(name string) string) RequestID
	// Left returns how long the caller waits; ok is false where it does not
	// say.
	Left(field func(name string) string) (left time.Duration, ok bool, err error)
	// Key returns the API key that a request shows, or nil. Field returns the value of a
	// header field.
	Key(field func(name string) []byte) []byte
	// Hides tells whether a field of a request or a reply is not passed on. The
	// name is in canonical form, such as Content-Length. Keyed tells that the field is of a
	// request where callers show keys, which are for the entry VM alone.
	Hides(name string, keyed bool) bool
	// Answer calls add for each field that each answer carries.
	Answer(id RequestID, add func(name, value string))
	// RetryAfter calls add for the fields that say when to come back.
	RetryAfter(after time.Duration, add func(name, value string))
}

// LookupDialect is the protocol by which callers ask which addresses to use.
type LookupDialect interface {
	// Domain returns the caller's failure domain, or "". Arg returns the value
	// of an argument of the query.
	Domain(arg func(name string) string) Domain
	// Region returns the region of the caller, or "" where it does not say.
	Region(arg func(name string) string) Region
	// Host returns the host that the caller wants to ask.
	Host(arg func(name string) string) string
	// Answer encodes the addresses, and for how long they may be kept, as
	// JSON.
	Answer(list []Address, keep time.Duration) ([]byte, error)
}
