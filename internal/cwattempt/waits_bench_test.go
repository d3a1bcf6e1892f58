package cwattempt

import (
	"testing"
	"time"
)

// BenchmarkWaits records one caller's wait and estimates the age of its first attempt.
func BenchmarkWaits(b *testing.B) {
	var w Waits

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		left := 2*time.Second - time.Duration(i%maxSamples)*5*time.Millisecond
		w.Add(left)
		w.Age(left)
	}
}
