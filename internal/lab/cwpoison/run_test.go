package cwpoison

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The sizes of the fleets that are replayed: those of a small one and of one three times as large.
const (
	smallVMs, smallServers = 19, 38
	largeVMs, largeServers = 60, 120
)

// TestRun wants the rule to keep its bound in each pattern, and to refuse hardly an
// innocent request, at two sizes.
func TestRun(t *testing.T) {
	const (
		seeds = 1
		// lateMost is how many sends may come late for one culprit.
		lateMost = 3
		// refusedMost is the share of innocent requests that may be refused for it
		// where many callers send the same charge and all servers end at once.
		refusedMost = 0.10
	)

	for _, p := range Patterns {
		t.Run(p.Name, func(t *testing.T) {
			for size, servers := range map[int]int{smallVMs: smallServers, largeVMs: largeServers} {
				for seed := range uint64(seeds) {
					r := Run(Ways[0], p, size, servers, seed)
					t.Logf("%d entry VMs: %+v", size, r)

					if r.Late > lateMost*p.Culprits {
						t.Errorf("%d sends of culprits came late", r.Late)
					}

					if p.Popular == 0 && r.Refused > 0 || float64(r.Refused) > refusedMost*float64(r.Innocent) {
						t.Errorf("%d of %d innocent requests refused", r.Refused, r.Innocent)
					}
				}
			}
		})
	}
}

// TestRepeats wants the same seed to give the same figures.
func TestRepeats(t *testing.T) {
	p := Patterns[len(Patterns)-1]
	if diff := cmp.Diff(Run(Ways[0], p, smallVMs, smallServers, 5), Run(Ways[0], p, smallVMs, smallServers, 5)); diff != "" {
		t.Error(diff)
	}
}
