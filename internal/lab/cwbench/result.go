package cwbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobward.example/carobward/internal/cwstand"
)

// Result has the figures of one variant. Arrivals during the warm-up count only in
// the fields that cover the whole run.
type Result struct {
	// Scenario and Variant identify the run.
	Scenario, Variant string
	// Calls counts the requests. Each ends as Answered, Shed, Failed or TimedOut.
	Calls, Answered, Shed, Failed, TimedOut int
	// Quick and Once hold latencies from the intended start in microseconds. A
	// request that was not answered counts with at least the timeout.
	Quick, Once Latency
	// Attempts counts the sends over the whole run, Extra those after the first send
	// of a request, Hedges those made while an earlier one was in flight.
	Attempts, Extra, Hedges int
	// Reports counts the load reports received with replies, over the whole run.
	Reports int
	// Total counts the requests of the whole run.
	Total int
	// Servers has the counters of the servers over the whole run.
	Servers cwstand.Counts
	// Trouble has the figures for Scenario.Trouble, if the scenario has such an
	// interval.
	Trouble *Trouble
	// Series holds the whole run in steps of SeriesStep.
	Series []Step

	scenario *Scenario
}

// Latency is a distribution of latencies in microseconds.
type Latency struct {
	P50, P90, P99, P999, Max int64
	// Calls counts the requests of the class, Answered those that got a complete reply.
	Calls, Answered int

	histogram *hdrhistogram.Histogram
}

// SeriesStep is the length of one step of a series.
const SeriesStep = 100 * time.Millisecond

// Step has the counts of one step of a run.
type Step struct {
	// Arrived counts requests by their intended start, Answered complete replies by the
	// time they reached the caller, and Lost the requests that ended without one.
	Arrived, Answered, Lost int
	// Worst is the largest latency of a reply, in microseconds.
	Worst int64
}

// Range and precision (significant digits) of latency histograms, in microseconds.
const (
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, latencyDigits) }

func newResult(s *Scenario, v *Variant) *Result {
	r := &Result{Scenario: s.Name, Variant: v.Name, scenario: s}
	r.Quick.histogram = histogram()
	r.Once.histogram = histogram()
	r.Series = make([]Step, (s.end()+s.Timeout)/SeriesStep+1)

	return r
}

// count records the end of a request as its caller sees it.
func (r *Result) count(a *arrival, o outcome, at time.Duration) {
	took := at - a.at
	r.Total++
	r.series(a, o, at)

	if a.at < r.scenario.Warm {
		return
	}

	r.Calls++

	switch o {
	case answered:
		r.Answered++
	case shed, refused:
		r.Shed++
	case failed:
		r.Failed++
	case timedOut, cancelled:
		r.TimedOut++
	}

	if o != answered {
		took = max(took, r.scenario.Timeout)
	}

	l := &r.Quick
	if a.once {
		l = &r.Once
	}

	l.record(took, o)
}

func (r *Result) series(a *arrival, o outcome, at time.Duration) {
	last := len(r.Series) - 1
	r.Series[min(int(a.at/SeriesStep), last)].Arrived++

	step := &r.Series[min(int(at/SeriesStep), last)]
	if o != answered {
		step.Lost++

		return
	}

	step.Answered++
	step.Worst = max(step.Worst, (at - a.at).Microseconds())
}

func (l *Latency) record(took time.Duration, o outcome) {
	l.Calls++

	if o == answered {
		l.Answered++
	}

	_ = l.histogram.RecordValue(min(took.Microseconds(), maxLatency))
}

// quantiles computes the quantiles from the histogram.
func (l *Latency) quantiles() {
	l.P50 = l.histogram.ValueAtQuantile(50)
	l.P90 = l.histogram.ValueAtQuantile(90)
	l.P99 = l.histogram.ValueAtQuantile(99)
	l.P999 = l.histogram.ValueAtQuantile(99.9)
	l.Max = l.histogram.Max()
}

// add adds another run of the same scenario and variant.
func (r *Result) add(o *Result) {
	r.Calls += o.Calls
	r.Answered += o.Answered
	r.Shed += o.Shed
	r.Failed += o.Failed
	r.TimedOut += o.TimedOut
	r.Attempts += o.Attempts
	r.Extra += o.Extra
	r.Reports += o.Reports
	r.Hedges += o.Hedges
	r.Total += o.Total
	r.Servers = r.Servers.Add(o.Servers)
	r.Quick.add(&o.Quick)
	r.Once.add(&o.Once)

	for i := range r.Series {
		r.Series[i].add(&o.Series[i])
	}

	if r.Trouble != nil {
		r.Trouble.add(o.Trouble)
	}
}

func (l *Latency) add(o *Latency) {
	l.Calls += o.Calls
	l.Answered += o.Answered
	l.histogram.Merge(o.histogram)
	l.quantiles()
}

func (s *Step) add(o *Step) {
	s.Arrived += o.Arrived
	s.Answered += o.Answered
	s.Lost += o.Lost
	s.Worst = max(s.Worst, o.Worst)
}
