package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/pkg/cwcaller"
)

// The range of the demo's latencies in microseconds, and their precision in
// significant digits.
const (
	latencyMin    = 1
	latencyMax    = 60_000_000
	latencyDigits = 3
)

// tally counts the outcomes of one kind of request.
type tally struct {
	name    string
	last    time.Time
	times   *hdrhistogram.Histogram
	servers map[string]int
	failed  map[string]int
}

func newTally(name string) *tally {
	return &tally{
		name:    name,
		last:    time.Now(),
		times:   hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		servers: map[string]int{},
		failed:  map[string]int{},
	}
}

// record counts a request that started when the previous one ended.
func (t *tally) record(r *cwcaller.Reply, err error) {
	now := time.Now()
	took := now.Sub(t.last)
	t.last = now

	if err != nil {
		t.failed[carobward.VerdictOf(err).String()+": "+err.Error()]++

		return
	}

	t.servers[r.Header.Get(carobward.HeaderServer)+" by way of "+r.Header.Get(carobward.HeaderVM)]++
	_ = t.times.RecordValue(took.Microseconds())
}

// print prints the counts and returns an error if a request failed.
func (t *tally) print() error {
	at := func(q float64) time.Duration { return time.Duration(t.times.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Printf("%s: %d served, p50 %s, p99 %s\n", t.name, t.times.TotalCount(), at(50), at(99))

	printSorted(t.servers)
	printSorted(t.failed)

	if len(t.failed) > 0 {
		return errors.Errorf("%s: some requests failed", t.name)
	}

	return nil
}

func printSorted(counts map[string]int) {
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("  %5d  %s", n, name))
	}

	sort.Strings(lines)

	for _, l := range lines {
		fmt.Println(l)
	}
}
