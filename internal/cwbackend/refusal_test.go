package cwbackend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestOutcomeOfRefusal checks that a refusal counts as due to load unless the server's report
// shows a free slot.
func TestOutcomeOfRefusal(t *testing.T) {
	at := time.Now()

	for name, c := range map[string]struct {
		report carobward.Report
		want   Outcome
	}{
		"no report":               {carobward.Report{}, Refused},
		"all slots free":          {carobward.Report{At: at}, RefusedWithRoom},
		"one slot free":           {carobward.Report{At: at, Running: 2}, RefusedWithRoom},
		"full":                    {carobward.Report{At: at, Running: 3}, Refused},
		"a queue":                 {carobward.Report{At: at, Running: 3, Queued: 2}, Refused},
		"a queue before the rest": {carobward.Report{At: at, Running: 2, Queued: 1}, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			if got := OutcomeOfRefusal(&c.report, 3); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestRefusedView checks what a refusal does to the choice of its server: one that is due to
// load blocks the server for a moment; one by a server with room only counts in the share of
// refusals, which falls with answers and with time.
func TestRefusedView(t *testing.T) {
	type state struct {
		Blocked, Failing bool
		Failures         float64
		Refusals         float64
	}

	for name, c := range map[string]struct {
		outcomes []Outcome
		after    time.Duration
		want     state
	}{
		"due to load":              {[]Outcome{Refused}, 0, state{Blocked: true, Failures: failureWeight}},
		"with room":                {[]Outcome{RefusedWithRoom}, 0, state{Refusals: refusalWeight}},
		"with room, then answered": {[]Outcome{RefusedWithRoom, Answered}, 0, state{Refusals: refusalWeight * (1 - refusalWeight)}},
		"with room, some time ago": {[]Outcome{RefusedWithRoom}, refusalHalfLife, state{Refusals: refusalWeight / 2}},
		"canceled":                 {[]Outcome{RefusedWithRoom, Abandoned}, 0, state{Refusals: refusalWeight}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s := newServer(carobward.Backend{Instance: "i", Slots: 3}, nil, now)

			for _, o := range c.outcomes {
				s.End(s.Begin(now, func() {}), now, o)
			}

			v := s.View(now.Add(c.after), time.Second)
			if diff := cmp.Diff(c.want, state{v.Blocked, v.Failing, v.FailureRate, v.RefusalRate}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRefusalsForgotten checks that a server that starts again begins without the refusals of
// its last process.
func TestRefusalsForgotten(t *testing.T) {
	now := time.Now()
	table := New(VM{ID: "a"})
	b := carobward.Backend{Instance: "i", Address: "s:1", Service: "records", Slots: 3, Start: 1}
	table.Put([]carobward.Backend{b}, nil, now)

	only := func() View { return table.Views("records", now, time.Second)[0] }
	s := only().Server
	s.End(s.Begin(now, func() {}), now, RefusedWithRoom)

	if rate := only().RefusalRate; rate == 0 {
		t.Fatal("the refusal is not counted")
	}

	b.Start = 2
	table.Put([]carobward.Backend{b}, nil, now)

	if rate := only().RefusalRate; rate != 0 {
		t.Errorf("refusal rate %.2f of a new process", rate)
	}
}
