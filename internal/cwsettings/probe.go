package cwsettings

import (
	"strings"
	"time"

	"carobward.example/carobward"
)

// Probe says how servers without fresh traffic are probed. What it may cost
// is the operators' measuring budget.
type Probe struct {
	// Path is the servers' health endpoint.
	Path string `json:"path"`
	// Fresh is the age from which what a server said is too old.
	Fresh carobward.Duration `json:"fresh"`
	// Timeout bounds one probe.
	Timeout carobward.Duration `json:"timeout"`
}

// The default values of the probes, and the most that a probe may take: the
// turns of a small budget are that far apart.
const (
	defaultProbePath    = "/healthz"
	defaultProbeFresh   = time.Second
	defaultProbeTimeout = 500 * time.Millisecond
	probeTimeoutMost    = 500 * time.Millisecond
)

func defaultProbe() Probe {
	return Probe{
		Path:    defaultProbePath,
		Fresh:   carobward.Duration(defaultProbeFresh),
		Timeout: carobward.Duration(defaultProbeTimeout),
	}
}

func (p *Probe) validate(fail failer) {
	if !strings.HasPrefix(p.Path, "/") {
		fail("probe.path", `want a path such as "/healthz", got %q`, p.Path)
	}

	fail.unlessTime("probe.fresh", p.Fresh, timeLow)

	if p.Timeout.Std() < timeLow || p.Timeout.Std() > probeTimeoutMost {
		fail("probe.timeout", "want a time from %s to %s, got %s", timeLow, probeTimeoutMost, p.Timeout.Std())
	}
}
