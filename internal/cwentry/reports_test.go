package cwentry

import (
	"context"
	"sync/atomic"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtest"
)

// countingReports is a Reports that asks for a report with each call, and counts
// the calls and the reservations that are not settled yet.
type countingReports struct{ reserved, asked atomic.Int64 }

func (a *countingReports) Ask(*cwserver.Server) bool {
	a.asked.Add(1)
	a.reserved.Add(1)

	return true
}

func (a *countingReports) Took(bool, *carobward.Reply) { a.reserved.Add(-1) }

// TestReportOfPanic checks that a panic during a call releases the budget
// reserved for its load report.
func TestReportOfPanic(t *testing.T) {
	fault := func(context.Context, *carobward.Call) (*carobward.Reply, error) { panic("a fault") }
	forwarder, reports := newForwarder(&fakeServers{answer: fault}, 1), &countingReports{}
	forwarder.options.Reports = reports

	c := dial(t, serveForwarder(t, options(), forwarder))
	checkProblem(t, c.write("GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n").read(false), carobward.Unknown)

	cwtest.Wait(t, "the reserved budget to be released", func() bool { return reports.asked.Load() > 0 && reports.reserved.Load() == 0 })
}
