// Package cwmemory bounds the memory that callers, peers and servers make an entry VM use. A Plan divides the
// memory limit of the process among its parts, and a Budget counts what one part uses.
package cwmemory

import "carobward.example/carobward"

// DefaultLimit is the memory limit that is planned for if the settings have none. It is that of a small VM.
const DefaultLimit = 512 * carobward.Megabyte

// The shares of the memory limit. What is left is for the process itself, stacks, garbage that is not collected
// yet, and what the operating system holds for connections.
const (
	// collectorShare is the size of the heap and the stacks from which on the garbage collector runs more often.
	collectorShare = 0.8
	requestShare   = 0.36
	replyShare     = 0.04
	connShare      = 0.17
)

const (
	// largestRequest is the largest body that is served on any VM, and requestReserve what only small requests
	// may use beside it.
	largestRequest = 64 * carobward.Megabyte
	requestReserve = 2 * carobward.Megabyte
	// connBytes is the memory of an open connection: its read buffer, the first bytes of a body and of a reply,
	// its goroutine and its entries in tables.
	connBytes = 40 * carobward.Kilobyte
	// maxConns is the largest number of callers' connections, well below the file descriptor limit of a VM.
	maxConns = 2400
)

// Plan divides the memory limit of an entry VM.
type Plan struct {
	// Collector is the soft limit for the garbage collector.
	Collector carobward.ByteCount
	// Requests bounds the headers and bodies of requests, of which Reserve is for small ones.
	Requests, Reserve carobward.ByteCount
	// Replies bounds the replies that are held whole, beyond the first bytes of each.
	Replies carobward.ByteCount
	// Conns is the largest number of callers' connections.
	Conns int
}

// NewPlan returns the plan for a memory limit, or for DefaultLimit if it is zero.
func NewPlan(limit carobward.ByteCount) Plan {
	if limit == 0 {
		limit = DefaultLimit
	}

	share := func(s float64) carobward.ByteCount { return carobward.ByteCount(s * float64(limit)) }

	return Plan{
		Collector: share(collectorShare),
		Requests:  max(share(requestShare), largestRequest+requestReserve),
		Reserve:   requestReserve,
		Replies:   share(replyShare),
		Conns:     min(maxConns, int(share(connShare)/connBytes)),
	}
}
