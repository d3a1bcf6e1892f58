package cwconfig

import (
	"context"
	"fmt"
	"testing"

	"carobward.example/carobward/internal/cwstore"
)

// large returns a configuration of so many services with one target each.
func large(b *testing.B, services int) (*Config, []Change) {
	b.Helper()

	change := put("large", "ana", 0)
	for i := range services {
		change.Put = append(change.Put, target(fmt.Sprintf("target-%d", i), fmt.Sprintf("service-%d", i)))
	}

	config, accepted, err := (&Config{}).With(change)
	if err != nil {
		b.Fatal(err)
	}

	return config, []Change{accepted}
}

// BenchmarkReplay is the cost of one change of one target.
func BenchmarkReplay(b *testing.B) {
	for _, n := range []int{6, 60, 220} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			config, _ := large(b, n)
			_, accepted, err := config.With(put("one", "ana", 1, "target-0"))
			if err != nil {
				b.Fatal(err)
			}

			b.ReportAllocs()

			for b.Loop() {
				if _, err := config.Replay([]Change{accepted}); err != nil {
					b.Fatal(err)
				}
			}

			raw, _ := encode(config)
			b.ReportMetric(float64(len(raw)), "bytes-whole")
			b.ReportMetric(float64(size(&accepted)), "bytes-change")
		})
	}
}

// BenchmarkApply is the cost of one change at the writer, and what a watcher
// reads for it.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{6, 60, 220} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			store := cwstore.New()
			writer := NewWriter(store, NewHolder())
			change := put("large", "ana", 0)

			for i := range n {
				change.Put = append(change.Put, target(fmt.Sprintf("target-%d", i), "service"))
			}

			if _, err := writer.Apply(context.Background(), change); err != nil {
				b.Fatal(err)
			}

			b.ReportAllocs()

			i, read := 0, 0
			for b.Loop() {
				i++
				if _, err := writer.Apply(context.Background(), put(fmt.Sprint("c", i), "ana", i, "target-0")); err != nil {
					b.Fatal(err)
				}

				entry, _ := store.Get(context.Background(), HeadKey)
				read += len(entry.Value)
			}

			b.ReportMetric(float64(read)/float64(i), "head-bytes/change")
		})
	}
}
