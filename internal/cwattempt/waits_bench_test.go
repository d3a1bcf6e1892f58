package cwattempt

import (
	"testing"
	"time"
)

// BenchmarkWaits has the cost of telling whether a caller has come back.
func BenchmarkWaits(b *testing.B) {
	var w Waits

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		left := 2*time.Second - time.Duration(i%recent)*5*time.Millisecond
		w.Add(left)
		w.Age(left)
	}
}
