package cwfront

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobward.example/carobward"
)

// TestLoadMeter checks that the load has the requests of about the last second, by rank, and
// that after a pause nothing old is left.
func TestLoadMeter(t *testing.T) {
	begin := time.Unix(1000, 0)
	l := &loadMeter{}

	for i := range 40 { // Four seconds.
		now := begin.Add(time.Duration(i) * loadSlice)
		l.countRequest(i%2, now)
		l.countRequest(9, now)
		l.countCompleted(now)

		if i%2 == 0 {
			l.countFull(now)
		}
	}

	l.addWaiting(2)

	end := begin.Add(39 * loadSlice)
	want := carobward.ServiceLoad{Service: "records", Demand: [carobward.LoadRanks]carobward.Rate{5, 5, 0, 10}, Completed: 10, Full: 5, Waiting: 2}

	if diff := cmp.Diff(want, l.load("records", end), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
		t.Error(diff)
	}

	want = carobward.ServiceLoad{Service: "records", Waiting: 2}
	if diff := cmp.Diff(want, l.load("records", end.Add(loadTime))); diff != "" {
		t.Error(diff)
	}
}
