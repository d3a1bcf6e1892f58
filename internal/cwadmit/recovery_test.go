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

// TestLimitAfterOutage checks that the threshold is soon gone once servers that completed
// nothing for a minute complete requests again.
func TestLimitAfterOutage(t *testing.T) {
	c := observed(known(100, 80, 30, 90, 80))
	out, back := known(0, 200, 30, 90, 80), known(10, 0, 30, 90, 80)
	now := begin

	for range 600 {
		now = now.Add(observeInterval)
		c.Observe(out, own(out), now)
	}

	const most = 10 * time.Second

	end := now
	for c.Short() && now.Sub(end) < time.Minute {
		now = now.Add(observeInterval)
		c.Observe(back, own(back), now)
	}

	if took := now.Sub(end); took > most {
		t.Errorf("the threshold was in force for %s after the outage", took)
	}
}
