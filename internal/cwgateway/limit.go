package cwgateway

import (
	"time"

	"carobward.example/carobward"
)

// takeWords takes what servers said to another entry VM.
func (g *Gateway) takeWords(words carobward.ServerWords, from carobward.VMID) {
	now := g.Clock.Now()

	for _, w := range g.servers.MergeLeaving(words.Leaving, now) {
		g.log.Info("A server says that it leaves, it gets nothing more.", "server", w.Server, "start", w.Start, "from", "peer", "vm", from)
	}

	for _, w := range g.servers.MergeLimits(words.Limits) {
		g.log.Info("A server's limit has changed.", "server", w.Server, "named", w.Limit.Named, "rate", w.Limit.Rate,
			"from", "peer", "vm", from, "age", now.Sub(w.At).Milliseconds())
	}
}

// limited is a server that names a limit, as operators see it.
type limited struct {
	Server  carobward.Instance `json:"server"`
	Service carobward.Service  `json:"service"`
	// Rate is the requests a second that it takes from all entry VMs together; Readable
	// tells whether what it says could be read.
	Rate     carobward.Rate `json:"rate"`
	Readable bool           `json:"readable"`
	// Age is how old its last word is.
	Age string `json:"age"`
	// Part is how many requests this entry VM sends it in any Window.
	Part   int    `json:"part"`
	Window string `json:"window"`
}

// limits returns the servers that name a limit in the order of their names.
func (g *Gateway) limits(now time.Time) []limited {
	list := []limited{}

	for _, l := range g.servers.Limited(now) {
		list = append(list, limited{
			Server: l.Server, Service: l.Service, Rate: l.Limit.Rate, Readable: l.Limit.Readable,
			Age: now.Sub(l.At).Round(time.Millisecond).String(), Part: l.Part, Window: l.Window.Round(time.Millisecond).String(),
		})
	}

	return list
}
