package carobward

import "time"

// Promise is what a target holds its class of work to.
type Promise string

// The promises.
const (
	// Quick is for idempotent work that should be answered fast. It may be
	// retried and hedged.
	Quick Promise = "quick"
	// Once is for work that must not repeat. It runs at most once.
	Once Promise = "once"
)

// Match tells which requests belong to a target.
type Match struct {
	// Method is an HTTP method in capitals; empty matches each.
	Method string `json:"method,omitempty"`
	// Path is a prefix of the request's path.
	Path string `json:"path"`
}

// Target is the operator's declaration for one class of work.
type Target struct {
	// Name is unique among all targets.
	Name TargetName `json:"name"`
	// Service is the group of servers that does the work.
	Service Service `json:"service"`
	// Promise is what the work is held to.
	Promise Promise `json:"promise"`
	// Host limits the target to requests with this Host header.
	Host string `json:"host,omitempty"`
	// Match lists the requests that belong to the target.
	Match []Match `json:"match"`
	// Within is the time in which a request is answered or given up.
	Within Duration `json:"within"`
	// Body is the largest request or reply body in bytes.
	Body ByteCount `json:"body"`
}

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// ByteCount is a number of bytes, written as a number or as text such as
// "64KB" or "1MB".
type ByteCount int64
