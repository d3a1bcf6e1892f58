package cwadmit

import (
	"testing"
	"time"

	"carobward.example/carobward"
)

// TestSparseLoad checks that a threshold that was in force when the load ended does not refuse
// the few requests that come afterwards: a request that no server has completed yet is no sign
// of a lack of room.
func TestSparseLoad(t *testing.T) {
	short := known(100, 80, 30, 90, 80)
	c := observed(short)

	if !c.Short() {
		t.Fatal("no threshold at first")
	}

	one := known(0, 0, carobward.Rate(time.Second)/carobward.Rate(loadTime))
	now, refused := begin, 0

	for range 60 { // Two minutes.
		now = now.Add(2 * time.Second)
		c.Observe(one, own(one), now)

		if !c.Admit(Request{Rank: 0, Draw: 0.9}, now) {
			refused++
		}
	}

	if refused > 0 || c.Short() {
		t.Errorf("%d of 60 requests were refused, short: %v", refused, c.Short())
	}
}
