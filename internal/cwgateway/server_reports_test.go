package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// reportingFleet is an entry VM with two servers of one service, the first of which reports its
// state in the header of its replies.
type reportingFleet struct {
	*fleet

	reporting, other *cwstand.Upstream
	vm               *vm
	sent             int
}

func newReportingFleet(t *testing.T) *reportingFleet {
	t.Helper()

	s := &reportingFleet{fleet: newFleet(t)}
	s.reporting, s.other = s.upstream(t, "fees", "i-1"), s.upstream(t, "fees", "i-2")
	s.store.Put("servers/i-1", cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", s.reporting.Address(), "a", "ready"), 6))
	s.configure(safeRoute("fees"), unsafeRoute())
	s.vm = s.start(t, "vm-1")
	s.vm.waitReady(t)

	return s
}

// sendEachKind sends requests of each kind and returns the answers.
func (s *reportingFleet) sendEachKind(requests int) []answer {
	var all []answer

	for range requests {
		for method, path := range map[string]string{http.MethodGet: readPath, http.MethodPost: chargePath} {
			s.sent++
			all = append(all, s.vm.send(method, path, fmt.Sprint("id-", s.sent), ""))
		}
	}

	return all
}

// TestReportsLeaving has a server report in any kind of reply that it is leaving, while its entry
// stays ready. It must get no further requests, also while the store is unavailable, until
// another process runs there.
func TestReportsLeaving(t *testing.T) {
	for name, mode := range map[string]cwstand.UpstreamMode{
		"in answers":        cwstand.UpstreamServes,
		"in refusals":       cwstand.UpstreamSheds,
		"in failures":       cwstand.UpstreamFails,
		"in other refusals": cwstand.UpstreamRefuses,
	} {
		t.Run(name, func(t *testing.T) {
			s := newReportingFleet(t)
			s.reporting.SetMode(mode, 0)
			s.reporting.SetHeaders("Server-Leaving: 1")
			s.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})

			cwtest.Wait(t, "the report", func() bool {
				s.sendEachKind(1)

				return s.vm.gauge(t, "leaving") == 1
			})

			before := len(s.reporting.Runs()) + len(s.reporting.Refusals())

			for _, got := range s.sendEachKind(40) {
				if got.status != http.StatusOK {
					t.Errorf("unexpected answer %+v", got)
				}
			}

			if n := len(s.reporting.Runs()) + len(s.reporting.Refusals()) - before; n > 0 {
				t.Errorf("%d requests at a leaving server", n)
			}

			s.reporting.SetMode(cwstand.UpstreamServes, 0)
			s.reporting.SetHeaders()
			s.store.SetFaults(cwstand.MetadataFaults{})
			s.store.Put("servers/i-1", cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", s.reporting.Address(), "a", "ready"), 7))
			cwtest.Wait(t, "use of the next process", func() bool {
				before := len(s.reporting.Runs())
				s.sendEachKind(1)

				return len(s.reporting.Runs()) > before
			})
		})
	}
}

// TestInvalidReports verifies that header fields that can't be parsed have no effect.
func TestInvalidReports(t *testing.T) {
	s := newReportingFleet(t)
	s.reporting.SetHeaders("Server-Leaving: maybe", "Retry-After: never")

	cwtest.Wait(t, "use of the reporting server", func() bool {
		before := len(s.reporting.Runs())
		s.sendEachKind(4)

		return len(s.reporting.Runs()) > before && before > 0
	})

	if n := s.vm.gauge(t, "leaving") + s.vm.gauge(t, "paused"); n > 0 {
		t.Errorf("%d reports with an effect", n)
	}
}

// inFlightGrace is how long after a refusal requests already in flight may still arrive.
const inFlightGrace = 500 * time.Millisecond

// TestRetryAfter has a server refuse requests with a Retry-After. From inFlightGrace on, two
// requests at most may reach it until that time is over, and then it must be used again.
func TestRetryAfter(t *testing.T) {
	for name, pause := range map[string]time.Duration{"seconds": 2 * time.Second, "a fraction": 1250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newReportingFleet(t)
			s.reporting.SetMode(cwstand.UpstreamSheds, 0)
			s.reporting.SetHeaders(fmt.Sprintf("Retry-After: %g", pause.Seconds()))

			cwtest.Wait(t, "a refusal", func() bool {
				s.sendEachKind(1)

				return len(s.reporting.Refusals()) > 0
			})

			first := s.reporting.Refusals()[0]
			for time.Since(first) < 2*pause {
				s.sendEachKind(1)
			}

			within := 0
			for _, at := range s.reporting.Refusals() {
				if late := at.Sub(first); late > inFlightGrace && late < pause {
					within++
				}
			}

			if within > 2 {
				t.Errorf("%d requests reached a server during its pause", within)
			}

			s.reporting.SetMode(cwstand.UpstreamServes, 0)
			cwtest.Wait(t, "use of the server", func() bool {
				s.sendEachKind(1)

				return len(s.reporting.Runs()) > 0
			})
		})
	}
}

// TestAllServersPause has all servers of a service refuse requests for longer than callers wait.
// Callers must be refused at once, with the time until one of the servers accepts requests.
func TestAllServersPause(t *testing.T) {
	s := newReportingFleet(t)

	for i, u := range []*cwstand.Upstream{s.reporting, s.other} {
		u.SetMode(cwstand.UpstreamSheds, 0)
		u.SetHeaders(fmt.Sprint("Retry-After: ", 20+20*i))
	}

	cwtest.Wait(t, "both reports", func() bool {
		s.sendEachKind(1)

		return s.vm.gauge(t, "paused") == 2
	})

	before := len(s.reporting.Refusals()) + len(s.other.Refusals())

	for _, got := range s.sendEachKind(20) {
		if after := got.header.Get("Retry-After"); got.status != http.StatusServiceUnavailable || after == "" {
			t.Errorf("status %d, Retry-After %q", got.status, after)
		}
	}

	if n := len(s.reporting.Refusals()) + len(s.other.Refusals()) - before; n > 0 {
		t.Errorf("%d requests reached servers during their pause", n)
	}
}
