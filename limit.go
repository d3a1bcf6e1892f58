package carobward

import "time"

// Rate is a number of requests a second.
type Rate float64

// Limit is what a reply says of the requests that its server takes.
type Limit struct {
	// Named tells that the server names a limit, Readable that it could be read.
	Named    bool
	Readable bool
	// Rate is the most requests that it takes from all entry VMs together, for as long
	// as its replies say so.
	Rate Rate
}

// LimitWord is what a server said of its limit at a moment.
type LimitWord struct {
	Server Instance
	Limit  Limit
	// At is when its reply came. Passed tells that it came to a third entry VM, so that the
	// time is later by each way that the word took.
	At     time.Time
	Passed bool
}
