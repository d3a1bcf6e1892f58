package cwdrain_test

import (
	"testing"
	"time"

	"carobward.example/carobward/internal/lab/cwleave"
)

const (
	fleetVMs = 19
	seeds    = 6
	// maxLastWork is the longest allowed time from the first sign that a
	// server is leaving to the last request sent to it.
	maxLastWork = 3 * time.Second
)

// TestLastNewWork verifies that all entry VMs soon stop sending requests to a
// leaving server after a sign of any kind reached only one of them, while others
// are paused, partitioned or not started yet. The VM list does not show the server
// as leaving, except in the one read that is the sign.
func TestLastNewWork(t *testing.T) {
	for _, sign := range cwleave.Signals() {
		t.Run(sign.Name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if took := sign.LastWork(cwleave.New(seed, fleetVMs, true)); took > maxLastWork {
					t.Errorf("seed %d: last request %s after the first sign", seed, took)
				}
			}
		})
	}
}

// TestListOnlyMisses verifies that the same fleets miss the limit without gossip,
// as a load balancer would that relies on a VM list with a lag of ten seconds.
func TestListOnlyMisses(t *testing.T) {
	for seed := range uint64(seeds) {
		f := cwleave.New(seed, fleetVMs, true)
		if took := cwleave.NaiveLastWork(f, 10*time.Second); took <= maxLastWork {
			t.Errorf("seed %d: last request %s after the start of the drain, expected a later one", seed, took)
		}
	}
}
