package cwreach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

var begin = time.Unix(1000, 0)

// at returns a time of the tests, in milliseconds.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// event is a contact that began at a time: with a server that did not answer, or one that did
// if server is "".
type event struct {
	ms     int
	server carobward.Instance
}

func replay(t *Tracker, known int, events []event) {
	for _, e := range events {
		if e.server == "" {
			t.Answered("records", at(e.ms))
		} else {
			t.Failed("records", e.server, at(e.ms), known)
		}
	}
}

// TestLost verifies what counts as a service of which no server is reached.
func TestLost(t *testing.T) {
	for name, c := range map[string]struct {
		known  int
		events []event
		want   bool
	}{
		"nothing known":             {8, nil, false},
		"one server":                {8, []event{{0, "a"}, {1, "a"}, {2, "a"}, {3, "a"}}, false},
		"three servers":             {8, []event{{0, "a"}, {1, "b"}, {2, "c"}}, true},
		"an answer between":         {8, []event{{0, "a"}, {1, "b"}, {2, ""}, {3, "c"}}, false},
		"an answer after":           {8, []event{{0, "a"}, {1, "b"}, {2, "c"}, {3, ""}}, false},
		"begun before the answer":   {8, []event{{5, ""}, {0, "a"}, {1, "b"}, {2, "c"}}, false},
		"lost again":                {8, []event{{0, "a"}, {1, "b"}, {2, "c"}, {3, ""}, {4, "a"}, {5, "b"}, {6, "c"}}, true},
		"the only server, once":     {1, []event{{0, "a"}}, false},
		"the only server, often":    {1, []event{{0, "a"}, {1, "a"}, {2, "a"}}, true},
		"both servers, three times": {2, []event{{0, "a"}, {1, "b"}, {2, "a"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			replay(tracker, c.known, c.events)

			if got := tracker.Lost("records"); got != c.want {
				t.Errorf("lost: %v", got)
			}

			if tracker.Lost("fees") {
				t.Error("another service is lost")
			}
		})
	}
}

// TestNewConnsBreak verifies when new connections to the servers of a service count as broken, and
// that this does not make the service one that is lost.
func TestNewConnsBreak(t *testing.T) {
	// Each event is a server whose new connection broke, or "" for one that was answered.
	for name, c := range map[string]struct {
		known  int
		events []carobward.Instance
		want   bool
	}{
		"nothing known":        {8, nil, false},
		"one server":           {8, []carobward.Instance{"a", "a", "a"}, false},
		"three servers":        {8, []carobward.Instance{"a", "b", "c"}, true},
		"an answer between":    {8, []carobward.Instance{"a", "b", "", "c"}, false},
		"an answer after":      {8, []carobward.Instance{"a", "b", "c", ""}, false},
		"broken again":         {8, []carobward.Instance{"a", "b", "c", "", "a", "b", "c"}, true},
		"all of two servers":   {2, []carobward.Instance{"a", "b"}, true},
		"the only server":      {1, []carobward.Instance{"a"}, true},
		"one of two, answered": {2, []carobward.Instance{"a", "", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()

			for _, server := range c.events {
				if server == "" {
					tracker.NewConnAnswered("records", at(0))
				} else {
					tracker.NewConnBroke("records", server, c.known)
				}
			}

			got := []bool{tracker.NewConnsBreak("records"), tracker.Doubtful("records"), tracker.Lost("records"), tracker.NewConnsBreak("fees")}
			if diff := cmp.Diff([]bool{c.want, c.want, false, false}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNewConnAnsweredSince verifies for how long an answer over a new connection counts.
func TestNewConnAnsweredSince(t *testing.T) {
	tracker := New()
	if tracker.NewConnAnsweredSince("records", time.Time{}) {
		t.Error("answered at first")
	}

	tracker.NewConnAnswered("records", at(10))

	got := []bool{tracker.NewConnAnsweredSince("records", at(10)), tracker.NewConnAnsweredSince("records", at(11)), tracker.NewConnAnsweredSince("fees", at(10))}
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// TestLosses verifies what operators see of a loss, and that its end is reported once.
func TestLosses(t *testing.T) {
	tracker := New()
	replay(tracker, 8, []event{{20, "a"}, {10, "b"}})

	loss, changed := tracker.Failed("records", "c", at(30), 8)
	want := Loss{Service: "records", Since: at(10), Servers: 3}

	if diff := cmp.Diff(want, loss); diff != "" || !changed {
		t.Error(diff, changed)
	}

	if _, again := tracker.Failed("records", "d", at(40), 8); again {
		t.Error("the loss begins twice")
	}

	want.Servers = 4
	if diff := cmp.Diff([]Loss{want}, tracker.Losses()); diff != "" {
		t.Error(diff)
	}

	if ended, changed := tracker.Answered("records", at(50)); !changed || ended != want {
		t.Errorf("ended: %v, %v", ended, changed)
	}

	if _, again := tracker.Answered("records", at(60)); again || len(tracker.Losses()) > 0 {
		t.Error("the loss ends twice")
	}
}

// TestClaims verifies that others are told neither of a short loss nor of a short return.
func TestClaims(t *testing.T) {
	lost := []event{{0, "a"}, {1, "b"}, {2, "c"}}
	back := slices.Concat(lost, []event{{1500, ""}})

	for name, c := range map[string]struct {
		events []event
		asked  []int
		want   bool
	}{
		"lost lately":             {lost, []int{900}, false},
		"lost":                    {lost, []int{1000}, true},
		"back before it was told": {back, []int{1600}, false},
		"back lately":             {back, []int{1400, 1600, 3400}, true},
		"back":                    {back, []int{1400, 1600, 3500}, false},
		"answers go on":           {slices.Concat(back, []event{{3000, ""}}), []int{1400, 3500}, false},
		"back, and lost again":    {slices.Concat(back, []event{{1700, "a"}, {1700, "b"}, {1700, "c"}}), []int{1400, 3600}, true},
		"back, and a short loss":  {slices.Concat(back, []event{{5000, "a"}, {5000, "b"}, {5000, "c"}}), []int{1400, 4000, 5500}, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()

			var got []carobward.Service

			// The events that come before each question are replayed before it.
			events := c.events
			for _, ms := range c.asked {
				n := 0
				for n < len(events) && events[n].ms <= ms {
					n++
				}

				replay(tracker, 8, events[:n])
				events, got = events[n:], tracker.Claims(at(ms))
			}

			if claimed := len(got) > 0; claimed != c.want {
				t.Errorf("claimed: %v", got)
			}
		})
	}
}

// TestDoubtful verifies that contacts without an answer in good time count only until the next
// answer.
func TestDoubtful(t *testing.T) {
	tracker := New()

	for name, c := range map[string]struct {
		silent, answered int
		want             bool
	}{
		"silent after the answer":  {20, 10, true},
		"silent before the answer": {10, 20, false},
	} {
		tracker.Answered(carobward.Service(name), at(c.answered))
		tracker.Silent(carobward.Service(name), at(c.silent))

		if got := tracker.Doubtful(carobward.Service(name)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}

	replay(tracker, 8, []event{{0, "a"}, {1, "b"}, {2, "c"}})

	if !tracker.Doubtful("records") || tracker.Doubtful("fees") {
		t.Error("not the lost service is in doubt")
	}
}

// TestProbes verifies that only services that are not reached are probed, at intervals.
func TestProbes(t *testing.T) {
	tracker := New()
	tracker.Answered("fees", at(0))

	if got := tracker.Probes(at(1)); len(got) > 0 {
		t.Errorf("probes of %v", got)
	}

	for i := range minFailures {
		tracker.Failed("records", carobward.Instance(fmt.Sprint(i)), at(2), 8)
	}

	count := 0

	for ms := 10; ms < 1010; ms += 10 {
		count += len(tracker.Probes(at(ms)))
	}

	if want := int(time.Second / probeInterval); count != want {
		t.Errorf("%d probes a second, want %d", count, want)
	}
}
