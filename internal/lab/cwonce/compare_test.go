package cwonce

import (
	"testing"

	"carobward.example/carobward"
)

// TestAgainstNaive subjects callers that retry after any error and callers with
// tickets to the same server faults. Some of the former must be charged twice,
// or the faults prove nothing, and none of the latter.
func TestAgainstNaive(t *testing.T) {
	const fees = 2000

	for seed := range uint64(3) {
		naive, err := Compare(seed, fees, Naive)
		if err != nil || naive.Twice == 0 {
			t.Errorf("seed %d: no naive caller was charged twice, so the faults prove nothing: %v, %+v", seed, err, naive)
		}

		ours, err := Compare(seed, fees, Ticketed)
		if err != nil || ours.Twice > 0 || ours.Wrong > 0 || ours.Verdicts[carobward.Ran] == 0 {
			t.Errorf("seed %d: tickets: %v, %+v", seed, err, ours)
		}
	}
}

// TestStrategies compares the strategies for running work at most once under
// the same VM crashes and the same outage of the store.
func TestStrategies(t *testing.T) {
	for _, w := range Strategies() {
		if c, _ := w.Run(1, 20_000); (c.Twice == 0) != w.AtMostOnce {
			t.Errorf("%s: %d fees ran twice", w.Name, c.Twice)
		}
	}
}

// TestRecordCost checks that the accounted cost of records is at least the heap
// that they take, at sizes just before and just after the map grows.
func TestRecordCost(t *testing.T) {
	for _, records := range []int{10_000, 28_000, 29_000, 50_000} {
		if heap, accounted, err := RecordCost(records); err != nil || heap > accounted {
			t.Errorf("%d records: %d bytes of heap, %d accounted, %v", records, heap, accounted, err)
		}
	}
}
