package cwgateway

import (
	"reflect"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwfront"
)

// Bounds are the operators' figures. They may change while an entry VM runs.
type Bounds struct {
	// Grace is the time that a stopping entry VM has.
	Grace time.Duration
	// AnswerMost is the longest time that callers keep an answer which addresses
	// to use.
	AnswerMost time.Duration
	Limits     cwfront.Limits
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
	g.mesh.AddSeeds(b.Seeds)
	g.log.Info("New bounds are in force.", "grace", b.Grace.String(), "answer", b.AnswerMost.String(),
		"share", b.Limits.ExtraShare, "least", b.Limits.ExtraLeast, "looks", b.Limits.Looks, "seeds", b.Seeds)
}
