package cwbench

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwstand"
)

func results(t *testing.T, s Scenario, list []Variant, parallel int) []*Result {
	t.Helper()

	got, err := Run(s, list, parallel)
	if err != nil {
		t.Fatal(err)
	}

	return got
}

// short returns a scenario that runs fast.
func short() Scenario {
	s := Atlas()
	s.VMs, s.Servers = 6, 9
	s.Warm, s.Length = 200*time.Millisecond, time.Second

	return s
}

func TestSameSeedSameResults(t *testing.T) {
	written := func(seed uint64, parallel int) string {
		s := short().stragglers()
		s.Seed = seed
		s.Once = onceShare
		s.Length = 300 * time.Millisecond

		var b bytes.Buffer
		if err := WriteJSON(&b, results(t, s, append(Baselines(), Products()...), parallel)); err != nil {
			t.Fatal(err)
		}

		return b.String()
	}

	if d := cmp.Diff(written(3, 1), written(3, 8)); d != "" {
		t.Error(d)
	}

	if written(3, 1) == written(4, 1) {
		t.Error("seeds 3 and 4 gave the same results")
	}
}

// TestVariantsArePaired checks that all variants get the same requests at the same
// times.
func TestVariantsArePaired(t *testing.T) {
	list := results(t, short(), Baselines(), 2)
	for _, r := range list[1:] {
		for i := range r.Series {
			if d := cmp.Diff(list[0].Series[i].Arrived, r.Series[i].Arrived); d != "" {
				t.Fatalf("%s, step %d: %s", r.Variant, i, d)
			}
		}
	}
}

// quiet returns a scenario with one entry VM, no network delay, and servers that
// never slow down.
func quiet(servers, slots int, load float64) Scenario {
	s := Atlas().withLoad(load)
	s.VMs, s.Domains, s.Servers, s.Slots = 1, 1, servers, slots
	s.Between, s.Within, s.Client, s.Open = 0, 0, 0, 0
	s.Noise = cwstand.Noise{}
	s.Queue, s.Conns, s.Timeout = 1<<20, 1<<20, time.Hour
	s.Length = 20 * time.Second

	return s
}

// TestModelMatchesQueueingTheory compares the mean latency with the theoretical
// one: the Pollaczek-Khinchine formula for one slot, and for several slots the
// Lee-Longton approximation on top of Erlang C.
func TestModelMatchesQueueingTheory(t *testing.T) {
	tests := map[string]struct {
		slots     int
		spread    float64
		load      float64
		tolerance float64
	}{
		"one slot, constant work":   {1, 0, 0.7, 0.05},
		"one slot, lognormal work":  {1, 0.5, 0.7, 0.05},
		"one slot, wide lognormal":  {1, 1, 0.5, 0.1},
		"four slots, constant work": {4, 0, 0.7, 0.1},
		"four slots, lognormal":     {4, 0.5, 0.8, 0.1},
	}

	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := quiet(1, tc.slots, tc.load)
			s.Spread = tc.spread
			r := results(t, s, Baselines()[:1], 1)[0]

			squared := math.Exp(tc.spread*tc.spread) - 1
			wait := erlangC(tc.slots, tc.load) / (float64(tc.slots) * (1 - tc.load)) * (1 + squared) / 2
			want := (1 + wait) * float64(s.Work.Microseconds())

			if got := r.Quick.histogram.Mean(); math.Abs(got-want) > tc.tolerance*want {
				t.Errorf("mean: got %.0f µs, want %.0f µs", got, want)
			}
		})
	}
}

// erlangC returns the share of calls that wait.
func erlangC(slots int, load float64) float64 {
	offered := float64(slots) * load
	term, sum := 1.0, 1.0

	for i := 1; i < slots; i++ {
		term *= offered / float64(i)
		sum += term
	}

	last := term * offered / float64(slots) / (1 - load)

	return last / (sum + last)
}

// TestArrivalsAreOpenLoop checks that a stall shows in the latency of every request
// that was meant to start during it, not only of those that a blocked caller had
// sent.
func TestArrivalsAreOpenLoop(t *testing.T) {
	s := quiet(4, 4, 0.3)
	s.Length = 5 * time.Second
	s = s.withFault(Fault{Kind: FaultStall, Servers: 4, Interval: Interval{From: 3 * time.Second, To: 4 * time.Second}, Factor: math.Inf(1)})
	r := results(t, s, Baselines()[3:], 1)[0]

	slow := 0
	for _, b := range r.Quick.histogram.Distribution() {
		if b.From >= 500_000 {
			slow += int(b.Count)
		}
	}

	// A request that arrives x seconds into the stall waits for 1-x seconds, and then
	// for the requests before it.
	want := 0.5 / (1 - s.Load) * s.Load * s.capacity()
	if math.Abs(float64(slow)-want) > 0.1*want {
		t.Errorf("requests that took half a second or more: got %d, want %.0f", slow, want)
	}
}

func TestNaiveStaysDownAfterStall(t *testing.T) {
	s := stall()
	s.VMs, s.Servers = 3, 4
	s.Length = 8 * time.Second
	s.Faults[0].Servers = s.Servers
	list := results(t, s, RetryStorms(), 2)

	if list[0].Trouble.Recovered {
		t.Errorf("with unlimited retries, the servers recovered after %s", list[0].Trouble.Recovery)
	}

	if !list[1].Trouble.Recovered {
		t.Error("without retries after timeouts, the servers did not recover")
	}
}

// TestProductHoldsGoodputInOverload checks that at 120 % load the product keeps the
// servers busy with calls that end in time and does not starve run-once calls.
func TestProductHoldsGoodputInOverload(t *testing.T) {
	s := overload()
	s.VMs, s.Servers, s.Length = 3, 4, 10*time.Second
	r := results(t, s, Products()[2:], 1)[0]

	if share := float64(r.Trouble.Answered) / float64(r.Trouble.Room); share < 0.95 {
		t.Errorf("answered during the overload: %.2f of what the servers could run, want at least 0.95", share)
	}

	if share := float64(r.Once.Answered) / float64(r.Once.Calls); share < 0.95 {
		t.Errorf("answered run-once calls: %.2f, want at least 0.95", share)
	}

	if r.Shed == 0 || r.TimedOut > r.Shed/10 {
		t.Errorf("%d calls shed, %d timed out of %d; want some shed and at most a tenth as many timed out", r.Shed, r.TimedOut, r.Calls)
	}

	if !r.Trouble.Recovered {
		t.Error("latency did not return to normal before the end of the run")
	}
}

func TestFaults(t *testing.T) {
	pair := Baselines()[2:3]

	tests := map[string]struct {
		change func(s Scenario) Scenario
		ok     func(r *Result) bool
	}{
		"draining servers shed": {
			func(s Scenario) Scenario {
				return s.withFault(Fault{Kind: FaultDrain, Servers: 1, Interval: Interval{To: s.end()}})
			},
			func(r *Result) bool { return r.Servers.Shed > 0 && r.Answered == r.Calls },
		},
		"failing servers fail": {
			func(s Scenario) Scenario {
				return s.withFault(Fault{Kind: FaultFail, Servers: 9, Interval: Interval{To: cwstand.Forever}})
			},
			func(r *Result) bool { return r.Servers.Began == 0 && r.Failed == r.Calls && r.Attempts == 3*r.Total },
		},
		"run-once calls are not retried": {
			func(s Scenario) Scenario {
				s.Once = 1

				return s.withFault(Fault{Kind: FaultFail, Servers: 9, Interval: Interval{To: cwstand.Forever}})
			},
			func(r *Result) bool { return r.Attempts == r.Total && r.Failed == r.Calls },
		},
		"full servers shed": {
			func(s Scenario) Scenario {
				s.Load, s.Queue = 2, 1

				return s
			},
			func(r *Result) bool { return r.Shed > 0 && r.Answered+r.Shed == r.Calls },
		},
		"connections are limited": {
			func(s Scenario) Scenario {
				s.Load, s.Queue, s.Conns = 2, 1<<20, 12

				return s
			},
			func(r *Result) bool { return r.Servers.Opened == 9*12 && r.Shed > 0 },
		},
	}

	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := results(t, tc.change(short()), pair, 1)[0]
			if !tc.ok(r) {
				t.Errorf("calls %d, answered %d, shed %d, failed %d, attempts %d of %d, servers %+v",
					r.Calls, r.Answered, r.Shed, r.Failed, r.Attempts, r.Total, r.Servers)
			}
		})
	}
}

func TestHedgesStayInBudget(t *testing.T) {
	s := short().stragglers()
	s.Length = 3 * time.Second
	r := results(t, s, Products()[1:2], 1)[0]

	if share := float64(r.Hedges) / float64(r.Total); share > cwretry.Share+0.01 || share == 0 {
		t.Errorf("share of hedges: got %.3f of the calls, want above 0 and up to %.3f", share, cwretry.Share)
	}

	if r.Servers.Cancelled == 0 {
		t.Error("no hedged attempt was cancelled")
	}
}

func TestReportsKeepToTheBudget(t *testing.T) {
	s := short()
	s.Length = 3 * time.Second
	s.ReportBudget = 64 << 10
	product := Products()[2:]

	seconds := (s.end() + s.Timeout).Seconds()
	first := s.VMs * s.Servers

	if got, maxReports := results(t, s, product, 1)[0].Reports, first+int(seconds*64*1024/2/reportBytes); got <= first || got > maxReports {
		t.Errorf("reports: got %d, want more than the first %d and up to %d", got, first, maxReports)
	}

	s.ReportBudget = 0
	if r := results(t, s, product, 1)[0]; r.Reports < r.Total {
		t.Errorf("without a budget: %d reports for %d calls", r.Reports, r.Total)
	}
}

func TestValidateNamesTheField(t *testing.T) {
	s := Atlas()
	s.Slots = 0

	if _, err := Run(s, nil, 1); err == nil || err.Error() != "bench: slots: want at least 1" {
		t.Errorf("got %v", err)
	}
}
