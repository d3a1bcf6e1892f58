package cwmesh

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// directoryCase is a drawn history.
type directoryCase struct {
	seed          uint64
	domains, each int
	steps         int
	loss          float64
	jitter        time.Duration
}

// histories is how many more histories are drawn, firstHistory the seed of the first one.
var (
	histories    = flag.Int("histories", 0, "how many more histories of the directory are drawn")
	firstHistory = flag.Uint64("first-history", 100, "the seed of the first of these")
)

// drawDirectoryCase draws the size of a fleet and the faults of its links.
func drawDirectoryCase(seed uint64) directoryCase {
	const (
		maxDomains, maxEach = 16, 30
		maxVMs              = 120
	)

	rnd := rand.New(rand.NewPCG(seed, 2))
	domains := 2 + rnd.IntN(maxDomains-1)

	return directoryCase{
		seed: seed, domains: domains, each: 1 + rnd.IntN(min(maxEach, maxVMs/domains)), steps: 8,
		loss:   []float64{0, 0.02, 0.1, 0.3}[rnd.IntN(4)],
		jitter: []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, time.Second}[rnd.IntN(4)],
	}
}

// TestDirectoryHistory simulates entry VMs that end, stop, are suspended, removed and replaced, the
// last ones of a failure domain above all, beside links that delay, lose and cut. No entry VM that
// runs may name to callers one that ended or began to stop more than namedTime before. Once all is
// calm, each names some of each failure domain.
func TestDirectoryHistory(t *testing.T) {
	t.Parallel()

	cases := map[string]directoryCase{
		"one VM each":          {1, 2, 1, 24, 0, 0},
		"one VM each, 16":      {2, 16, 1, 8, 0.02, 0},
		"3 domains":            {3, 3, 4, 16, 0, 0},
		"3 domains, loss":      {4, 3, 4, 16, 0.1, 0},
		"3 domains, delays":    {5, 3, 3, 16, 0.02, time.Second},
		"5 domains, delays":    {6, 5, 2, 12, 0, time.Second},
		"5 domains, much loss": {7, 5, 3, 12, 0.3, 20 * time.Millisecond},
		"2 domains of 30":      {8, 2, 30, 3, 0.02, 20 * time.Millisecond},
	}

	for n := range *histories {
		c := drawDirectoryCase(*firstHistory + uint64(n))
		cases[fmt.Sprintf("seed %d", c.seed)] = c
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := newDirectoryHistory(c.seed, c.domains, c.each)
			h.play(simFormTime)

			// What is known goes from an entry VM to its failure domain, on to another one, through a
			// third and on: one delay each. Less than that is within the limit.
			h.loss, h.jitter = c.loss, c.jitter
			h.slack = directoryHops * c.jitter

			for range c.steps {
				h.disturb()
			}

			h.mend()
			h.checkCalm()

			for _, problem := range h.problems {
				t.Error(problem)
			}

			t.Logf("%+v: %d answers", c, h.answers)
		})
	}
}

// directoryHops is the number of datagrams through which an entry VM may hear of another one within
// namedTime: one at least for each heartbeat interval, and those that arrive at once.
const directoryHops = 10
