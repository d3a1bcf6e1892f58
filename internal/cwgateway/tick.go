package cwgateway

import (
	"context"
	"math"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwmesh"
)

// tick runs the periodic work on the tables until ctx ends.
func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	second := time.NewTicker(time.Second)
	defer second.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-second.C:
			g.quota.Tick(g.Clock.Now())

			continue
		case <-t.C:
		}

		if by := g.Suspended(); by > 0 {
			g.applySuspension(by)
		}

		now := g.Clock.Now()
		g.mesh.MarkRunning(now)
		g.mirror.Sweep(now, g.applyChanges)
		g.front.Tick(now)
		g.link.Tick(now)
		g.relay.Tick(now)
		g.announceClaims(now)
		g.updateSharers(now)
		g.announceReady()
		g.updateRate()
	}
}

// applySuspension makes up for a suspension, which the VM's clock does not count. It adds its
// length to the age of the replica, so that the store is asked at once, and to the ages of idle
// connections and of limits that servers reported. Other ages need no correction: load is
// checked before each send, blocks only last longer, and the callers of requests in flight have
// disconnected or will.
func (g *Gateway) applySuspension(by time.Duration) {
	g.log.Info("The VM was suspended.", "by", by.String(), "flight", g.front.InFlight())
	g.mesh.Suspended(by)
	g.link.Suspended(by)
	g.relay.Suspended(by)
	g.servers.Suspended(by)
}

// updateSharers passes the entry VMs that send requests to the same servers to the table of
// servers, and the size of the fleet to the link.
func (g *Gateway) updateSharers(now time.Time) {
	var list []carobward.VMID

	for _, p := range g.table.Live(now) {
		if p.State != cwmesh.Leaving {
			list = append(list, p.ID)
		}
	}

	g.servers.SetNeighbours(list)

	lately, size := g.table.RecentPeers(now)
	g.servers.SetSharers(lately, size, now)
	g.link.SetFleet(g.table.Size(now), now)
}

// rateWeight is the weight of one tick in the moving average of the request rate, which
// follows a change of load within two seconds.
const rateWeight = 0.1

// updateRate updates the moving average of this entry VM's requests a second.
func (g *Gateway) updateRate() {
	total := g.front.Total()
	now := float64(total-g.lastTotal) / tickInterval.Seconds()
	g.lastTotal = total

	old := math.Float64frombits(g.rate.Load())
	// A request that is passed on leaves the total later than it came.
	rate := max(0, old+rateWeight*(now-old))

	g.rate.Store(math.Float64bits(rate))
	g.mesh.SetRate(int(math.Round(rate)))
}

// trafficShare returns this entry VM's share of all requests. Each entry VM counts for one
// request a second at least, so that one without requests has a share to start with. So do those
// that are known but have not been heard from: right after a start that is nearly all.
func (g *Gateway) trafficShare(now time.Time) float64 {
	own := 1 + math.Float64frombits(g.rate.Load())
	total, heard := own, 1

	for _, p := range g.table.Live(now) {
		total += 1 + float64(p.Rate)
		heard++
	}

	for _, s := range g.table.Domains(now) {
		total += float64(s.Alive + s.Rate)
		heard += s.Alive
	}

	total += float64(max(0, g.table.Size(now)-heard))

	return own / total
}

// registerGauges registers the metrics whose values other parts keep.
func (g *Gateway) registerGauges() {
	g.registerQuotaGauges()
	g.registerServerGauges()
	g.metrics.Gauge("gateway", "flight", func() int64 { return int64(g.front.InFlight()) })
	g.registerConnGauges()
	g.metrics.Gauge("gateway", "short", func() int64 { return int64(g.front.ShortServices()) })
	g.metrics.Gauge("gateway", "servers", func() int64 { return int64(g.servers.Count()) })
	g.metrics.Gauge("gateway", "peers", func() int64 { return int64(len(g.table.Live(g.Clock.Now()))) })
	g.metrics.Gauge("gateway", "fleet", func() int64 { return int64(g.table.Size(g.Clock.Now())) })
	g.metrics.Gauge("gateway", "sharers", func() int64 { return int64(g.servers.Sharers()) })
	g.metrics.Gauge("gateway", "fresh", func() int64 { return g.Clock.Now().Sub(g.mesh.Fresh()).Milliseconds() })
	g.metrics.Gauge("gateway", "unusable", func() int64 {
		g.mutex.Lock()
		defer g.mutex.Unlock()

		return int64(len(g.unusable))
	})
	g.metrics.Gauge("gateway", "evacuated", func() int64 { return int64(len(g.evacuations())) })
	g.metrics.Gauge("gateway", "index", func() int64 { return int64(g.mirror.State().Index) })
	g.metrics.Gauge("gateway", "era", func() int64 { return int64(g.mirror.State().Era) })
	g.metrics.Gauge("gateway", "kept", func() int64 { return int64(len(g.mirror.Kept(g.Clock.Now()))) })
	g.metrics.Gauge("gateway", "dropped", g.DroppedLines)
	g.metrics.Gauge("gateway", "calls", g.StoreCalls)
	g.metrics.Gauge("link", "opened", func() int64 {
		opened, _ := g.link.Opened()

		return opened
	})
	g.metrics.Gauge("link", "second", func() int64 {
		_, second := g.link.Opened()

		return second
	})
	g.metrics.Gauge("quarantine", "held", func() int64 {
		held, _ := g.quarantine.Counts(g.Clock.Now())

		return int64(held)
	})
	g.metrics.Gauge("quarantine", "crashes", func() int64 {
		_, crashes := g.quarantine.Counts(g.Clock.Now())

		return int64(crashes)
	})
	g.metrics.Gauge("quarantine", "waiting", func() int64 { return int64(g.quarantineKeeper.Pending()) })
	g.metrics.Gauge("quarantine", "dropped", g.quarantineKeeper.Dropped)
	g.metrics.Gauge("gateway", "version", func() int64 {
		if t := g.front.Routes(); t != nil {
			return int64(t.Version)
		}

		return 0
	})
}

// registerServerGauges registers the metrics of what this entry VM knows of servers.
func (g *Gateway) registerServerGauges() {
	g.metrics.Gauge("gateway", "limited", func() int64 { return int64(len(g.servers.Limited(g.Clock.Now()))) })
	g.metrics.Gauge("gateway", "lost", func() int64 { return int64(len(g.front.Losses())) })
	g.metrics.Gauge("gateway", "leaving", func() int64 {
		leaving, _ := g.servers.LeavingAndPaused(g.Clock.Now())

		return int64(leaving)
	})
	g.metrics.Gauge("gateway", "paused", func() int64 {
		_, paused := g.servers.LeavingAndPaused(g.Clock.Now())

		return int64(paused)
	})
}

// registerConnGauges registers the numbers of callers' connections by what they are doing.
func (g *Gateway) registerConnGauges() {
	gauge := func(name string, of func(cwconn.Counts) int) {
		g.metrics.Gauge("conns", name, func() int64 {
			callers, _ := g.front.Conns()

			return int64(of(callers))
		})
	}

	g.metrics.Gauge("memory", "requests", func() int64 { return int64(g.requests.Used()) })
	g.metrics.Gauge("memory", "replies", func() int64 { return int64(g.replies.Used()) })
	g.metrics.Gauge("memory", "refused", func() int64 { return g.requests.Refused() + g.replies.Refused() })
	g.metrics.Gauge("conns", "displaced", g.front.Displaced)
	g.metrics.Gauge("conns", "failed", g.unaccepted.Load)
	g.metrics.Gauge("conns", "closing", func() int64 { return int64(g.closer.Counts().Closing) })
	g.metrics.Gauge("conns", "mostclosing", func() int64 { return int64(g.closer.Counts().MostClosing) })
	g.metrics.Gauge("conns", "cut", func() int64 { return g.closer.Counts().Cut })
	g.metrics.Gauge("conns", "discarded", func() int64 { return int64(g.closer.Counts().Discarded) })
	gauge("waiting", func(n cwconn.Counts) int { return n.Waiting })
	gauge("reading", func(n cwconn.Counts) int { return n.Reading })
	gauge("busy", func(n cwconn.Counts) int { return n.Busy })
}
