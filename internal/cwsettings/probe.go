package cwsettings

import (
	"strings"
	"time"

	"carobward.example/carobward"
)

// Probe configures the probes of servers that have no recent traffic. The
// cost of probes is limited by the measuring budget, which operators declare
// with the targets.
type Probe struct {
	// Path is the path of the health endpoint of the servers.
	Path string `json:"path"`
	// Fresh is the age at which the last report of a server is outdated.
	Fresh carobward.Duration `json:"fresh"`
	// Timeout is the timeout of one probe.
	Timeout carobward.Duration `json:"timeout"`
}

// The default values of Probe, and the maximum timeout, which is the interval
// between probes under a small budget.
const (
	defaultProbePath    = "/healthz"
	defaultProbeFresh   = time.Second
	defaultProbeTimeout = 500 * time.Millisecond
	maxProbeTimeout     = 500 * time.Millisecond
)

func defaultProbe() Probe {
	return Probe{
		Path:    defaultProbePath,
		Fresh:   carobward.Duration(defaultProbeFresh),
		Timeout: carobward.Duration(defaultProbeTimeout),
	}
}

func (p *Probe) validate(fail reportFunc) {
	if !strings.HasPrefix(p.Path, "/") {
		fail("probe.path", `want a path such as "/healthz", got %q`, p.Path)
	}

	fail.checkTime("probe.fresh", p.Fresh, minTime)

	if p.Timeout.Std() < minTime || p.Timeout.Std() > maxProbeTimeout {
		fail("probe.timeout", "want a time from %s to %s, got %s", minTime, maxProbeTimeout, p.Timeout.Std())
	}
}
