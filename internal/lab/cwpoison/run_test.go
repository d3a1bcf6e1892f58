package cwpoison

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The sizes of the simulated fleets: a small one and one three times as large.
const (
	smallVMs, smallServers = 19, 38
	largeVMs, largeServers = 60, 120
)

// TestRun verifies at two fleet sizes that the quarantine keeps its bound on
// late sends in each pattern and refuses hardly any innocent requests.
func TestRun(t *testing.T) {
	const (
		seeds = 1
		// maxLate is the number of sends of one culprit that may be late.
		maxLate = 3
		// maxRefused is the share of innocent requests that may be refused
		// where many callers send the same charge and all servers crash at
		// once.
		maxRefused = 0.10
	)

	for _, p := range Patterns {
		t.Run(p.Name, func(t *testing.T) {
			for size, servers := range map[int]int{smallVMs: smallServers, largeVMs: largeServers} {
				for seed := range uint64(seeds) {
					r := Run(Variants[0], p, size, servers, seed)
					t.Logf("%d entry VMs: %+v", size, r)

					if r.Late > maxLate*p.Culprits {
						t.Errorf("%d sends of culprits were late, want at most three per culprit", r.Late)
					}

					if p.Popular == 0 && r.Refused > 0 || float64(r.Refused) > maxRefused*float64(r.Innocent) {
						t.Errorf("%d of %d innocent requests were refused, too many for this pattern", r.Refused, r.Innocent)
					}
				}
			}
		})
	}
}

// TestSameSeedSameResult verifies that the same seed gives the same figures.
func TestSameSeedSameResult(t *testing.T) {
	p := Patterns[len(Patterns)-1]
	if diff := cmp.Diff(Run(Variants[0], p, smallVMs, smallServers, 5), Run(Variants[0], p, smallVMs, smallServers, 5)); diff != "" {
		t.Error(diff)
	}
}
