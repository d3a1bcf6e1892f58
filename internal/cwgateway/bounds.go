package cwgateway

import (
	"reflect"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwquota"
)

// Bounds are the operators' figures. They may change while an entry VM runs.
type Bounds struct {
	// Grace is the time that a stopping entry VM has.
	Grace time.Duration
	// AnswerMost is the longest time that callers keep an answer which addresses
	// to use.
	AnswerMost time.Duration
	Limits     cwfront.Limits
	// ColdOvershoot times what a cold server tolerates in a second, and ColdSlack more,
	// is the most requests that it may get in any second.
	ColdOvershoot float64
	ColdSlack     float64
	// Quota says what may be sent beyond teams' quotas.
	Quota cwquota.Bounds
	// Seeds are the addresses of entry VMs to begin with.
	Seeds []carobward.Address
}

// SetBounds puts new bounds in force, but for the length of the window of extra
// calls, which a restart changes.
func (g *Gateway) SetBounds(b Bounds) {
	old := g.bounds.Load()
	if reflect.DeepEqual(*old, b) {
		return
	}

	if b.Limits.ExtraWindow != old.Limits.ExtraWindow {
		g.log.Info("The window of extra calls changes with a restart.", "window", old.Limits.ExtraWindow.String(), "file", b.Limits.ExtraWindow.String())
	}

	g.bounds.Store(&b)
	g.front.SetLimits(b.Limits)
	g.setColdBounds()
	g.quota.SetBounds(b.Quota)
	g.mesh.AddSeeds(b.Seeds)
	g.log.Info("New bounds are in force.", "grace", b.Grace.String(), "answer", b.AnswerMost.String(),
		"share", b.Limits.ExtraShare, "least", b.Limits.ExtraMin, "looks", b.Limits.ChecksPerSecond, "overshoot", b.ColdOvershoot, "slack", b.ColdSlack,
		"keyage", b.Limits.MaxKeyAge.String(), "quota", b.Quota.Slack, "window", b.Quota.Window.String(), "seeds", b.Seeds)
}

// setColdBounds tells the table of servers what cold ones bear, by the configuration and
// the bounds in force.
func (g *Gateway) setColdBounds() {
	t := g.front.Routes()
	if t == nil {
		return
	}

	b := g.bounds.Load()
	cold := map[carobward.Service]cwbackend.WarmupBound{}

	for name, s := range t.Services() {
		cold[name] = cwbackend.WarmupBound{Rate: s.WarmupRate, Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
	}

	g.servers.SetWarmupBounds(cold)
}
