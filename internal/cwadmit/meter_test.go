package cwadmit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobward.example/carobward"
)

// TestMeter checks that the load has the requests of about the last second, by rank, and
// that after a pause nothing old is left.
func TestMeter(t *testing.T) {
	begin := time.Unix(1000, 0)
	m := &Meter{}

	for i := range 40 { // Four seconds.
		now := begin.Add(time.Duration(i) * loadSlice)
		m.CountRequest(i%2, now)
		m.CountRequest(9, now)
		m.CountCompleted(now)

		if i%2 == 0 {
			m.CountFull(now)
		}
	}

	m.AddWaiting(2)

	end := begin.Add(39 * loadSlice)
	want := carobward.ServiceLoad{Service: "records", Demand: [carobward.LoadRanks]carobward.Rate{5, 5, 0, 10}, Completed: 10, Full: 5, Waiting: 2}

	if diff := cmp.Diff(want, m.Load("records", end), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
		t.Error(diff)
	}

	want = carobward.ServiceLoad{Service: "records", Waiting: 2}
	if diff := cmp.Diff(want, m.Load("records", end.Add(loadTime))); diff != "" {
		t.Error(diff)
	}
}

// TestMeterClockSetBack checks that the load after the clock was set back is that of the last
// second, and not that of all the time until the clock shows the earlier time again.
func TestMeterClockSetBack(t *testing.T) {
	m := &Meter{}
	m.CountRequest(0, time.Unix(5000, 0))

	now := time.Unix(1000, 0)
	for range 100 { // Ten seconds.
		m.CountRequest(0, now)
		now = now.Add(loadSlice)
	}

	load := m.Load("records", now.Add(-loadSlice))
	if got := load.Total(); got < 9 || got > 11 {
		t.Errorf("the load is %v requests a second, want 10", got)
	}
}
