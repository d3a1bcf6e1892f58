package cwmemory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestNewPlan guards against plans whose parts are larger than the limit together, or too small for the largest
// request.
func TestNewPlan(t *testing.T) {
	// process is what an entry VM without callers takes.
	const process = 20 * carobward.Megabyte

	for name, limit := range map[string]carobward.ByteCount{
		"smallest": 184 * carobward.Megabyte, "medium": 284 * carobward.Megabyte, "large": 536 * carobward.Megabyte, "none": 0,
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlan(limit)
			if limit == 0 {
				limit = DefaultLimit
			}

			sum := process + p.Requests + p.Replies + carobward.ByteCount(p.Conns)*connBytes
			if sum > p.Collector || p.Collector >= limit {
				t.Errorf("%+v: %d MB together", p, sum/carobward.Megabyte)
			}

			if p.Requests-p.Reserve < largestRequest || p.Reserve <= 0 || p.Conns < 1 || p.Conns > maxConns {
				t.Errorf("%+v", p)
			}
		})
	}
}

// TestBudget verifies what may be taken, and that a refused take uses nothing.
func TestBudget(t *testing.T) {
	b := NewBudget(100, 10)

	got := []bool{b.Take(91), b.Take(90), b.Take(1), b.TakeSmall(10), b.TakeSmall(1)}
	if diff := cmp.Diff([]bool{false, true, false, true, false}, got); diff != "" {
		t.Error(diff)
	}

	b.Give(10)

	if b.Used() != 90 || b.Refused() != 3 || b.Take(1) || !b.TakeSmall(10) {
		t.Errorf("%d used, %d refused", b.Used(), b.Refused())
	}

	var none *Budget
	if !none.Take(1<<40) || !none.TakeSmall(1<<40) {
		t.Error("a budget without a bound refuses")
	}

	none.Give(1)
}
