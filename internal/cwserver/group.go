package cwserver

import (
	"math"
	"sync/atomic"
	"time"
)

// Group holds what the servers of one service have in common.
type Group struct {
	servers atomic.Pointer[[]*Server]
	// averageLatency is the moving average of all latencies in nanoseconds.
	averageLatency atomic.Int64
	// averageOtherCalls is the moving average of the calls that other entry
	// VMs have on a server, as the bits of a float64.
	averageOtherCalls atomic.Uint64
	// reportedAt is the instant of the last report.
	reportedAt atomic.Int64
}

// sampleWeight is the weight of one sample in the group's averages.
const sampleWeight = 1.0 / 64

func (g *Group) setServers(list []*Server) { g.servers.Store(&list) }

// UsualLatency returns the average latency of the service, or zero.
func (g *Group) UsualLatency() time.Duration { return time.Duration(g.averageLatency.Load()) }

// addLatency adds the latency of one complete reply. Of two concurrent updates
// one may be lost, which the average tolerates.
func (g *Group) addLatency(d time.Duration) {
	old := g.averageLatency.Load()
	if old == 0 {
		g.averageLatency.Store(int64(d))

		return
	}

	g.averageLatency.Store(old + int64(float64(int64(d)-old)*sampleWeight))
}

func (g *Group) addOtherCalls(now instant, n int64) {
	g.reportedAt.Store(int64(now))

	old := math.Float64frombits(g.averageOtherCalls.Load())
	g.averageOtherCalls.Store(math.Float64bits(old + (float64(n)-old)*sampleWeight))
}

// expectedOtherCalls returns the average number of calls that other entry VMs
// have on a server. It decays with the age of the last report: an entry VM that
// considers all servers full sends nothing, so it gets no new reports and would
// otherwise never try again.
func (g *Group) expectedOtherCalls(now instant) float64 {
	average := math.Float64frombits(g.averageOtherCalls.Load())

	return average * decay(now.since(instant(g.reportedAt.Load())), reportHalfLife)
}

// mayEject reports whether one more server may be ejected.
func (g *Group) mayEject(now instant) bool {
	list := g.servers.Load()
	if list == nil {
		return false
	}

	count := 1

	for _, s := range *list {
		if instant(s.ejectedUntil.Load()) > now {
			count++
		}
	}

	return float64(count) <= maxEjectedShare*float64(len(*list))
}
