package cwentry

import (
	"context"
	"sync/atomic"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtest"
)

// asking is a Reports that asks each call and counts what is reserved.
type asking struct{ reserved, asked atomic.Int64 }

func (a *asking) Ask(*cwserver.Server) bool {
	a.asked.Add(1)
	a.reserved.Add(1)

	return true
}

func (a *asking) Took(bool, *carobward.Reply) { a.reserved.Add(-1) }

// TestReportOfPanic checks that a fault in mid call keeps no part of the
// measuring budget.
func TestReportOfPanic(t *testing.T) {
	fault := func(context.Context, *carobward.Call) (*carobward.Reply, error) { panic("a fault") }
	carrier, reports := newCarrier(&fake{answer: fault}, 1), &asking{}
	carrier.options.Reports = reports

	c := dial(t, serveCarrier(t, options(), carrier))
	checkProblem(t, c.write("GET /sheets HTTP/1.1\r\nHost: h\r\n\r\n").read(false), carobward.Unknown)

	cwtest.Wait(t, "nothing is reserved", func() bool { return reports.asked.Load() > 0 && reports.reserved.Load() == 0 })
}
