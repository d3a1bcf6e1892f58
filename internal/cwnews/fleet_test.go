package cwnews_test

import (
	"testing"
	"time"

	"carobward.example/carobward/internal/lab/cwleave"
)

const (
	fleetVMs = 19
	seeds    = 6
	// bound is the most time from the first sign to the last new work.
	bound = 3 * time.Second
)

// TestLastNewWork has a sign of each kind reach one VM only, while others are
// frozen, cut, or not there yet, and no VM list ever shows the truth again.
func TestLastNewWork(t *testing.T) {
	for _, sign := range cwleave.Signs() {
		t.Run(sign.Name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if took := sign.LastWork(cwleave.New(seed, fleetVMs, true)); took > bound {
					t.Errorf("seed %d: new work %s after the first sign", seed, took)
				}
			}
		})
	}
}

// TestListOnlyMisses has the same fleets without news, as a balancer by the VM
// list alone: one that lags ten seconds.
func TestListOnlyMisses(t *testing.T) {
	for seed := range uint64(seeds) {
		f := cwleave.New(seed, fleetVMs, true)
		if took := cwleave.NaiveLastWork(f, 10*time.Second); took <= bound {
			t.Errorf("seed %d: the last new work came %s after the drain began", seed, took)
		}
	}
}
