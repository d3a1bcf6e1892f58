package carobward

import "time"

// Promise is the execution guarantee of a target's class of work.
type Promise string

// The execution guarantees.
const (
	// Quick is for idempotent work that should be answered fast. Requests may be retried
	// and hedged.
	Quick Promise = "quick"
	// Once is for work that must not be repeated. Requests run at most once.
	Once Promise = "once"
)

// Match selects requests of a target.
type Match struct {
	// Method is an HTTP method in upper case; empty matches any.
	Method string `json:"method,omitempty"`
	// Path is a prefix of the request's path.
	Path string `json:"path"`
}

// Target is the operators' declaration of a class of work.
type Target struct {
	// Name is unique among all targets.
	Name TargetName `json:"name"`
	// Service is the group of servers that does the work.
	Service Service `json:"service"`
	// Promise is the execution guarantee of the work.
	Promise Promise `json:"promise"`
	// Host limits the target to requests with this Host header.
	Host string `json:"host,omitempty"`
	// Match selects the requests that belong to the target.
	Match []Match `json:"match"`
	// Within is the time in which a request is answered or abandoned.
	Within Duration `json:"within"`
	// Body is the maximum size of a request or reply body.
	Body ByteCount `json:"body"`
}

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// ByteCount is a number of bytes that is encoded as a number or as text such as "64KB" or
// "1MB".
type ByteCount int64
