package cwserver

import (
	"math"
	"sync/atomic"
	"time"
)

// Group is what the servers of one service have in common.
type Group struct {
	servers atomic.Pointer[[]*Server]
	// usual is the moving average of all latencies in nanoseconds.
	usual atomic.Int64
	// others is the moving average of the calls that are not ours, a server,
	// as the bits of a float64.
	others atomic.Uint64
	// reported is when the last report came.
	reported atomic.Int64
}

// groupShare is the weight of one sample in the group's averages.
const groupShare = 1.0 / 64

func (g *Group) setServers(list []*Server) { g.servers.Store(&list) }

// Usual returns the average latency of the service, or zero.
func (g *Group) Usual() time.Duration { return time.Duration(g.usual.Load()) }

// addLatency takes the latency of one whole reply. Two at once may lose one,
// which an average can bear.
func (g *Group) addLatency(d time.Duration) {
	old := g.usual.Load()
	if old == 0 {
		g.usual.Store(int64(d))

		return
	}

	g.usual.Store(old + int64(float64(int64(d)-old)*groupShare))
}

func (g *Group) addOthers(now instant, n int64) {
	g.reported.Store(int64(now))

	old := math.Float64frombits(g.others.Load())
	g.others.Store(math.Float64bits(old + (float64(n)-old)*groupShare))
}

// expectOthers returns the average number of calls a server that are not
// ours. It fades, too: who holds all servers for full sends nothing and hears
// nothing new, and would never try again.
func (g *Group) expectOthers(now instant) float64 {
	average := math.Float64frombits(g.others.Load())

	return average * fade(now.since(instant(g.reported.Load())), reportFade)
}

// mayEject tells whether one more server may be ejected.
func (g *Group) mayEject(now instant) bool {
	list := g.servers.Load()
	if list == nil {
		return false
	}

	count := 1

	for _, s := range *list {
		if instant(s.ejected.Load()) > now {
			count++
		}
	}

	return float64(count) <= ejectShare*float64(len(*list))
}
