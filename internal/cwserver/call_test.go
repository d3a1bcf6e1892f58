package cwserver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

const usual = 10 * time.Millisecond

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

// servers returns n servers of one service, each of which has sent one reply
// with the usual latency.
func servers(n int) []*cwserver.Server {
	var list []carobward.VM
	for i := range n {
		list = append(list, carobward.VM{Address: carobward.Address(fmt.Sprintf("10.0.0.%d:80", i)), Service: "records"})
	}

	t := cwserver.NewTable()
	t.Update(list)

	all := t.Of("records")
	for _, s := range all {
		s.Begin(start).End(start.Add(usual), cwserver.Replied)
	}

	return all
}

func view(s *cwserver.Server, now time.Time) cwserver.View {
	m := s.Moment(now)

	return s.View(&m)
}

func isEjected(s *cwserver.Server, now time.Time) bool {
	m := s.Moment(now)

	return s.Ejected(&m)
}

func TestLatency(t *testing.T) {
	ms := func(n int) time.Time { return start.Add(time.Second + time.Duration(n)*time.Millisecond) }

	tests := map[string]struct {
		calls func(s *cwserver.Server)
		at    time.Time
		want  time.Duration
	}{
		"usual reply":              {func(s *cwserver.Server) { s.Begin(ms(0)).End(ms(15), cwserver.Replied) }, ms(15), usual},
		"slow reply":               {func(s *cwserver.Server) { s.Begin(ms(0)).End(ms(90), cwserver.Replied) }, ms(90), 90 * time.Millisecond},
		"slow reply, half decayed": {func(s *cwserver.Server) { s.Begin(ms(0)).End(ms(90), cwserver.Replied) }, ms(180), 50 * time.Millisecond},
		"second slow reply decays more slowly": {func(s *cwserver.Server) {
			s.Begin(ms(0)).End(ms(90), cwserver.Replied)
			s.Begin(ms(90)).End(ms(180), cwserver.Replied)
		}, ms(360), 50 * time.Millisecond},
		"usual reply resets a slow one": {func(s *cwserver.Server) {
			s.Begin(ms(0)).End(ms(90), cwserver.Replied)
			s.Begin(ms(90)).End(ms(100), cwserver.Replied)
		}, ms(100), usual},
		"failure":                     {func(s *cwserver.Server) { s.Begin(ms(0)).End(ms(1), cwserver.Failed) }, ms(1), 160 * time.Millisecond},
		"call in flight, not overdue": {func(s *cwserver.Server) { s.Begin(ms(0)) }, ms(14), usual},
		"call in flight, overdue":     {func(s *cwserver.Server) { s.Begin(ms(0)) }, ms(40), 40 * time.Millisecond},
		"cancelled call":              {func(s *cwserver.Server) { s.Begin(ms(0)).End(ms(90), cwserver.Cancelled) }, ms(90), usual},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := servers(64)[0]
			test.calls(s)

			// Rounded because the group's average moves a little with each
			// reply.
			got := view(s, test.at).Latency.Round(5 * time.Millisecond)
			if diff := cmp.Diff(test.want.Round(5*time.Millisecond).String(), got.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLoadDecays(t *testing.T) {
	all := servers(2)
	all[0].SetReport(carobward.Report{At: start, Slots: 4, Running: 6, Queued: 2})
	all[0].Begin(start)

	average := view(all[1], start).Load

	got := map[string]bool{
		"full report at once":         view(all[0], start).Load == 9,
		"below 6 after a half-life":   view(all[0], start.Add(500*time.Millisecond)).Load < 6,
		"above 4.5 after a half-life": view(all[0], start.Add(500*time.Millisecond)).Load > 4.5,
		"average for another server":  average > 0.1 && average < 0.2,
		"only own calls in the end":   view(all[0], start.Add(time.Hour)).Load < 1.01,
		"nothing in the end":          view(all[1], start.Add(time.Hour)).Load < 0.01,
	}
	for name, ok := range got {
		if !ok {
			t.Errorf("%s: false", name)
		}
	}
}

// TestDistrustOfReports verifies that after reports which lack calls of this
// entry VM a server's reports count little, and count fully again once they are
// plausible.
func TestDistrustOfReports(t *testing.T) {
	all := servers(2)
	s, now := all[0], start

	report := func(total int) float64 {
		now = now.Add(time.Millisecond)
		s.SetReport(carobward.Report{At: now, Slots: 4, Running: total})

		return view(s, now).Load - float64(s.Running.Load())
	}

	for range 6 {
		s.Begin(start)
	}

	before := report(12)

	for range 3 {
		report(3)
	}

	distrusted := report(12)

	for range 10000 {
		report(12)
	}

	if after := report(12); before < 5.9 || distrusted > 1 || after < 5.9 {
		t.Errorf("other entry VMs' calls by the report: %.1f before, %.1f while distrusted, %.1f after", before, distrusted, after)
	}
}

func TestEjection(t *testing.T) {
	tests := map[string]struct {
		servers, failing, want int
	}{
		"one of thirty":   {30, 1, 1},
		"a third of many": {30, 30, 10},
		"the only server": {1, 1, 0},
		"both of two":     {2, 2, 0},
		"two of three":    {3, 2, 1},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := servers(test.servers)
			now := start.Add(time.Second)

			for _, s := range all[:test.failing] {
				for range 3 {
					s.Begin(now).End(now, cwserver.Failed)
				}
			}

			if got := countEjected(all, now); got != test.want {
				t.Errorf("%d servers are ejected, want %d", got, test.want)
			}

			if got := countEjected(all, now.Add(time.Second)); got != 0 {
				t.Errorf("%d servers are still ejected a second later", got)
			}
		})
	}
}

func countEjected(all []*cwserver.Server, now time.Time) int {
	count := 0

	for _, s := range all {
		if isEjected(s, now) {
			count++
		}
	}

	return count
}

func TestEjectionTimeDoubles(t *testing.T) {
	s := servers(10)[0]
	now := start.Add(time.Second)

	var got []string

	for range 4 {
		for !isEjected(s, now) {
			s.Begin(now).End(now, cwserver.Failed)
		}

		from := now
		for isEjected(s, now) {
			now = now.Add(100 * time.Millisecond)
		}

		got = append(got, now.Sub(from).String())
	}

	if diff := cmp.Diff([]string{"500ms", "1s", "2s", "4s"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestLimit(t *testing.T) {
	s := servers(1)[0]
	for range 100 {
		s.Begin(start).End(start.Add(usual), cwserver.Replied)
	}

	raised := s.Limit()
	s.Begin(start).End(start, cwserver.Refused)

	if half := s.Limit(); raised < 10 || half != raised/2 {
		t.Errorf("limit %d after replies, %d after a refusal", raised, half)
	}

	// Running out of connections lowers the limit to the calls in flight but is
	// no fault of the server, so it must not raise its latency.
	for range 3 {
		s.Begin(start)
	}

	s.Begin(start).End(start, cwserver.PoolExhausted)

	if limit, latency := s.Limit(), view(s, start).Latency; limit != 3 || latency > 2*usual {
		t.Errorf("limit %d, latency %s after the connections ran out", limit, latency)
	}
}
