package cwlink_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/lab/cwtrial"
)

// runScript sends calls through a new Link and returns the number of faults by kind.
func runScript(t *testing.T, p cwtrial.Play) map[cwtrial.Fault]int {
	t.Helper()

	l := cwtrial.NewLink()
	defer l.Close()

	faults, err := p.Run(cwtrial.ViaLink(l))
	if err != nil {
		t.Fatal(err)
	}

	return faults
}

// TestRandomScripts draws random lists of server actions and checks that no call has a
// fault. A failing list is minimized.
func TestRandomScripts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list := rapid.SliceOfN(rapid.SampledFrom(cwstand.Acts()), 1, 8).Draw(r, "acts")

		if diff := cmp.Diff(map[cwtrial.Fault]int{}, runScript(t, cwtrial.Play{Acts: list, Callers: 1, Calls: 16})); diff != "" {
			r.Fatal(diff)
		}
	})
}

// TestNaiveScripts runs the same seeded lists against a Link and a naive client. It
// checks that the lists trigger both kinds of faults in the naive client and none in
// the Link.
func TestNaiveScripts(t *testing.T) {
	const seeds, calls = 40, 16

	scores, err := cwtrial.Compare(1, seeds, calls)
	if err != nil {
		t.Fatal(err)
	}

	ours, naive := scores[0], scores[1]
	if ours.Calls != seeds*calls || naive.Calls != ours.Calls || len(ours.Faults) != 0 ||
		naive.Faults[cwtrial.FaultBody] == 0 || naive.Faults[cwtrial.FaultTwice] == 0 {
		t.Errorf("want no faults of the Link and both kinds of faults of the naive client: %v", scores)
	}

	t.Log(scores)
}

// TestConcurrentScripts lets many callers share a few connections.
func TestConcurrentScripts(t *testing.T) {
	if diff := cmp.Diff(map[cwtrial.Fault]int{}, runScript(t, cwtrial.Play{Acts: cwstand.Acts(), Callers: 32, Calls: 40})); diff != "" {
		t.Error(diff)
	}
}
