package cwattempt

import (
	"testing"
	"time"
)

// BenchmarkWaits has the cost of telling whether a caller is retrying.
func BenchmarkWaits(b *testing.B) {
	var w Waits

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		left := 2*time.Second - time.Duration(i%maxSamples)*5*time.Millisecond
		w.Add(left)
		w.Age(left)
	}
}
