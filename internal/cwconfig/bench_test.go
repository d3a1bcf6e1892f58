package cwconfig

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
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
			store := cwtest.NewStore()
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

// BenchmarkSpread is the time until a change is in force on the last of so
// many entry VMs, with fakes for the wire. In the quiet case the writer tells
// nobody; in the frozen one neither do the watchers.
func BenchmarkSpread(b *testing.B) {
	for _, test := range []struct {
		name          string
		quiet, frozen bool
	}{
		{"well", false, false}, {"quiet", true, false}, {"frozen", true, true},
	} {
		for _, n := range []int{3, 19, 50, 100, 200} {
			b.Run(fmt.Sprintf("%s/vms=%d", test.name, n), func(b *testing.B) { spreadOver(b, n, test.quiet, test.frozen) })
		}
	}
}

// running starts a fleet over the machine's clock and returns those of its
// entry VMs that are well.
func running(b *testing.B, n int, stuck bool) (*fleet, []*vm) {
	b.Helper()

	f := newFleet(0)
	f.clock = carobward.SystemClock{}

	for range n {
		f.add(f.store)
	}

	var well []*vm

	for i := range n {
		v := f.at(i)
		if stuck && Watches(v.self, v.All()) {
			v.syncer.reader, v.deaf = NewReader(frozen{}), true
		} else {
			well = append(well, v)
		}
	}

	f.start(b)

	for _, v := range well {
		cwtest.Wait(b, "ready", func() bool { return v.syncer.Condition().Ready })
	}

	return f, well
}

func (f *fleet) sent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.bytes
}

func spreadOver(b *testing.B, n int, quiet, stuck bool) {
	f, well := running(b, n, stuck)

	writer := NewWriter(f.store, NewHolder())
	if !quiet {
		writer = well[0].writer
	}

	before := f.sent()

	var took []float64

	for i := 0; b.Loop(); i++ {
		at := time.Now()

		got, err := writer.Apply(context.Background(), put(fmt.Sprint("c", i), "ana", i, "fee"))
		if err != nil {
			b.Fatal(err)
		}

		for _, v := range well {
			for v.holder.Revision() < got {
				<-time.After(time.Millisecond)
			}
		}

		took = append(took, time.Since(at).Seconds())
	}

	slices.Sort(took)
	b.ReportMetric(took[len(took)/2], "s-p50")
	b.ReportMetric(took[len(took)*9/10], "s-p90")
	b.ReportMetric(took[len(took)-1], "s-max")
	b.ReportMetric(float64(f.sent()-before)/float64(len(took)*n), "B/change/vm")
}

// BenchmarkIdle is what the exchanges and the store's calls cost without any
// change.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 19, 50, 100, 200} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			f, _ := running(b, n, false)
			began, bytes, calls := time.Now(), f.sent(), f.store.Calls()

			for b.Loop() {
				<-time.After(time.Second)
			}

			span := time.Since(began).Seconds()
			b.ReportMetric(float64(f.sent()-bytes)/span/float64(n), "B/s/vm")
			b.ReportMetric(float64(f.store.Calls()-calls)/span, "storecalls/s")
		})
	}
}
