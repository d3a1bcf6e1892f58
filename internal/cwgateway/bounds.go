package cwgateway

import (
	"reflect"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwquota"
)

// Bounds are the operators' limits. They may change while an entry VM runs.
type Bounds struct {
	// Grace is the time that an entry VM has to stop.
	Grace time.Duration
	// MaxLookupTTL is the longest time that callers keep a lookup reply.
	MaxLookupTTL time.Duration
	Limits       cwfront.Limits
	// A server that is warming up may get, in any second, WarmupOvershoot times the requests
	// a second that it tolerates, and WarmupSlack more.
	WarmupOvershoot float64
	WarmupSlack     float64
	// Quota limits what may be sent beyond teams' quotas.
	Quota cwquota.Bounds
	// Seeds are the addresses of the first peers to contact.
	Seeds []carobward.Address
}

// SetBounds puts new bounds in force. Only the retry window keeps its length until the
// process restarts.
func (g *Gateway) SetBounds(b Bounds) {
	old := g.bounds.Load()
	if reflect.DeepEqual(*old, b) {
		return
	}

	if b.Limits.ExtraWindow != old.Limits.ExtraWindow {
		g.log.Info("A change of the retry window takes effect after a restart.", "window", old.Limits.ExtraWindow.String(), "file", b.Limits.ExtraWindow.String())
	}

	g.bounds.Store(&b)
	g.front.SetLimits(b.Limits)
	g.setWarmupBounds()
	g.quota.SetBounds(b.Quota)
	g.mesh.AddSeeds(b.Seeds)
	g.log.Info("New bounds are in force.", "grace", b.Grace.String(), "answer", b.MaxLookupTTL.String(),
		"share", b.Limits.ExtraShare, "least", b.Limits.ExtraMin, "looks", b.Limits.ChecksPerSecond, "overshoot", b.WarmupOvershoot, "slack", b.WarmupSlack,
		"keyage", b.Limits.MaxKeyAge.String(), "quota", b.Quota.Slack, "window", b.Quota.Window.String(), "seeds", b.Seeds)
}

// setWarmupBounds passes the limits for servers that are warming up to the table of
// servers, from the configuration and the bounds in force.
func (g *Gateway) setWarmupBounds() {
	t := g.front.Routes()
	if t == nil {
		return
	}

	b := g.bounds.Load()
	byService := map[carobward.Service]cwbackend.WarmupBound{}

	for name, s := range t.Services() {
		byService[name] = cwbackend.WarmupBound{Rate: s.WarmupRate, Overshoot: b.WarmupOvershoot, Slack: b.WarmupSlack}
	}

	g.servers.SetWarmupBounds(byService)
}
