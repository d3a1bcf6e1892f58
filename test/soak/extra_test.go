package soak

import (
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// maxShed is the largest share of the requests that all servers refuse at once.
const maxShed = 0.9

// shedAll lets all servers refuse a share of everything, whatever their load.
func (w *world) shedAll() {
	share := maxShed * w.random.Float64()
	for _, s := range w.servers {
		s.SetShed(share)
	}
}

// restartSeries lets all servers refuse a share of everything, and restarts entry VMs in series:
// some or all of them, several times.
func (w *world) restartSeries(t *testing.T) {
	t.Helper()

	const maxRounds = 4

	w.shedAll()

	for range 1 + w.random.IntN(maxRounds) {
		signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[w.random.IntN(2)]

		for _, i := range w.random.Perm(vms)[:1+w.random.IntN(vms)] {
			w.restart(t, w.VMs[i], signal)
		}
	}
}

// restart ends the process of an entry VM and starts the next one. A process that has not started
// yet does not handle signals.
func (w *world) restart(t *testing.T, v *cwsite.EntryVM, s syscall.Signal) {
	t.Helper()

	p := v.Process()
	started := strings.Contains(p.Output(), "Started.")
	p.Signal(t, s)

	if err := p.Wait(t); err != nil && s == syscall.SIGTERM && started {
		t.Errorf("%s ended with %v after SIGTERM", v.ID, err)
	}

	w.Restart(t, v)
}

// checkExtraCalls checks the operators' limit on calls beyond the first of each request, as they are
// counted at the servers.
func (h *history) checkExtraCalls(t *testing.T, servers []*server) {
	t.Helper()

	var sent []time.Time
	for _, r := range h.all {
		sent = append(sent, r.sent)
	}

	extras := extraCalls(servers)
	limit := cwtest.ExtraLimit{Share: cwsite.RetryShare, Fixed: cwsite.RetryMinExtra, Span: cwsite.RetryWindow}

	if w := limit.Worst(sent, extras); float64(w.Extras) > w.Allowed {
		t.Errorf("%d extra calls from %s on, %.0f allowed", w.Extras, w.From.Format(time.TimeOnly), w.Allowed)
	}

	t.Logf("%d extra calls", len(extras))
}

// extraCalls returns when servers received requests that they or others had received before.
func extraCalls(servers []*server) []time.Time {
	var all []cwstand.Received
	for _, s := range servers {
		all = append(all, s.Received()...)
	}

	slices.SortFunc(all, func(a, b cwstand.Received) int { return a.At.Compare(b.At) })

	var extras []time.Time

	seen := map[string]bool{}

	for _, r := range all {
		if seen[r.ID] {
			extras = append(extras, r.At)
		}

		seen[r.ID] = true
	}

	return extras
}
