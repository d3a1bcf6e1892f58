package carobward

import "time"

// Rate is a number of requests a second.
type Rate float64

// Limit is the request rate limit that a reply states for its server.
type Limit struct {
	// Present is set if the reply has a limit field, Readable if its value could be parsed.
	Present  bool
	Readable bool
	// Rate is the maximum rate that the server accepts from all entry VMs together, for as
	// long as its replies state it.
	Rate Rate
}

// LimitAnnouncement is the limit that a server stated at some time.
type LimitAnnouncement struct {
	Server Instance
	Limit  Limit
	// At is when the server's reply arrived. Relayed is set if the limit came through a
	// third entry VM: At is then later than the reply by the delay of each hop.
	At      time.Time
	Relayed bool
}
