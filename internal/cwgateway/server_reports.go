package cwgateway

import (
	"time"

	"carobward.example/carobward"
)

// applyReports applies the announcements that servers made to another entry VM.
func (g *Gateway) applyReports(reports carobward.Announcements, from carobward.VMID) {
	now := g.Clock.Now()

	for _, w := range g.servers.MergeLeaving(reports.Leaving, now) {
		g.log.Info("A server announced that it is leaving; it gets no more requests.", "server", w.Server, "start", w.Start, "from", "peer", "vm", from)
	}

	for _, w := range g.servers.MergeLimits(reports.Limits) {
		g.log.Info("A server announced a new rate limit.", "server", w.Server, "named", w.Limit.Present, "rate", w.Limit.Rate,
			"from", "peer", "vm", from, "age", now.Sub(w.At).Milliseconds())
	}
}

// limitedServer is a server that reports a limit, as shown to operators.
type limitedServer struct {
	Server  carobward.Instance `json:"server"`
	Service carobward.Service  `json:"service"`
	// Rate is the requests a second that it accepts from all entry VMs together; Readable
	// reports whether its last report could be parsed.
	Rate     carobward.Rate `json:"rate"`
	Readable bool           `json:"readable"`
	// Age is the age of its last report.
	Age string `json:"age"`
	// Part is how many requests this entry VM may send it in any Window.
	Part   int    `json:"part"`
	Window string `json:"window"`
}

// limitedServers returns the servers that report a limit, sorted by name.
func (g *Gateway) limitedServers(now time.Time) []limitedServer {
	list := []limitedServer{}

	for _, l := range g.servers.Limited(now) {
		list = append(list, limitedServer{
			Server: l.Server, Service: l.Service, Rate: l.Limit.Rate, Readable: l.Limit.Readable,
			Age: now.Sub(l.At).Round(time.Millisecond).String(), Part: l.Part, Window: l.Window.Round(time.Millisecond).String(),
		})
	}

	return list
}
