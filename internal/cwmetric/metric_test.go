package cwmetric_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwtest"
)

// read returns the set as the operators' listener serves it, without the variables of the
// process.
func read(t *testing.T, s *cwmetric.Set) map[string]any {
	t.Helper()

	w := httptest.NewRecorder()
	s.ServeHTTP(w, nil)

	out := map[string]any{}
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}

	if out["memstats"] == nil || out["cmdline"] == nil {
		t.Error("the variables of the process are missing")
	}

	delete(out, "memstats")
	delete(out, "cmdline")

	return out
}

func TestSet(t *testing.T) {
	s := cwmetric.New()
	s.Part("entry").Add("sheds", 2)
	s.Gauge("entry", "flight", func() int64 { return 7 })

	fee := s.Requests().Target("fee")
	fee.Done(carobward.Ran, 200, 100*time.Microsecond)
	fee.Done(carobward.Ran, 201, 250*time.Microsecond)
	fee.Done(carobward.Unknown, 504, 251*time.Microsecond)
	s.Requests().Target("old").Done(carobward.NotRun, 503, 0)
	s.Requests().Target(cwmetric.NoTarget).Done(carobward.NotRun, 999, time.Hour)
	s.Requests().Keep(func(n carobward.TargetName) bool { return n == "fee" })

	want := map[string]any{
		"entry": map[string]any{"sheds": 2.0, "flight": 7.0},
		"requests": map[string]any{
			"fee": map[string]any{
				"ran":     map[string]any{"2xx": 2.0},
				"unknown": map[string]any{"5xx": 1.0},
				"latency": map[string]any{"count": 3.0, "sum": 0.601, "below": map[string]any{"250µs": 2.0, "500µs": 1.0}},
			},
			"-": map[string]any{
				"not-run": map[string]any{"0xx": 1.0},
				"latency": map[string]any{"count": 1.0, "sum": 3600000.0, "below": map[string]any{"more": 1.0}},
			},
		},
	}
	if diff := cmp.Diff(want, read(t, s)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// TestTwoSets verifies that two entry VMs in one process count separately.
func TestTwoSets(t *testing.T) {
	a, b := cwmetric.New(), cwmetric.New()
	a.Part("entry").Add("sheds", 1)
	b.Part("entry").Add("sheds", 2)

	want := map[string]any{"entry": map[string]any{"sheds": 1.0}, "requests": map[string]any{}}
	if diff := cmp.Diff(want, read(t, a)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// TestHistogram verifies that each duration is counted in the first bucket whose upper end
// is not below it.
func TestHistogram(t *testing.T) {
	for d := time.Duration(1); d < 200*time.Second; d = d*5/4 + 1 {
		var h cwmetric.Histogram

		h.Add(d)

		end := 250 * time.Microsecond
		for end < d && end < 250*time.Microsecond<<18 {
			end *= 2
		}

		want := end.String()
		if d > end {
			want = "more"
		}

		var got struct{ Below map[string]int }
		if err := json.Unmarshal([]byte(h.String()), &got); err != nil {
			t.Fatal(err)
		}

		if diff := cmp.Diff(map[string]int{want: 1}, got.Below); diff != "" {
			t.Errorf("%s (-want +got):\n%s", d, diff)
		}
	}
}

// BenchmarkDone is the cost of counting a request, including the lookup by target name.
func BenchmarkDone(b *testing.B) {
	s := cwmetric.New()

	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s.Requests().Target("fee").Done(carobward.Ran, 200, time.Millisecond)
		}
	})
}

// TestPageHasEachMetric verifies that docs/operators.md lists each metric.
func TestPageHasEachMetric(t *testing.T) {
	var paths []string
	for _, m := range cwmetric.Table {
		paths = append(paths, m.Path)
	}

	cwtest.CheckDocKeys(t, "../../docs/operators.md", paths)
}

func TestFind(t *testing.T) {
	tests := map[string]bool{
		"requests/fee/ran/2xx":             true,
		"requests/-/latency/below/500µs":   true,
		"requests/fee/latency":             false,
		"requests/fee/latency/below/1ms/x": false,
		"request/fee/ran/2xx":              false,
		"memstats":                         true,
		"":                                 false,
	}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			if _, got := cwmetric.Find(path); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
