package cwbudget

import (
	"sync/atomic"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// maxReportBytes is what is reserved for a report on a reply: the header field
// that asks for it and the one that holds it.
const maxReportBytes = 256

// maxReportDelay is how long after a call was given up its server may still
// send the report.
const maxReportDelay = time.Second

// Reports decides which calls ask the server for a report with the reply.
type Reports struct {
	account *Account
	clock   carobward.Clock
	// interval is the age in nanoseconds from which a new report is asked for,
	// so that the budget suffices for all servers equally.
	interval atomic.Int64
	// unasked counts the bytes of reports that were not asked for.
	unasked atomic.Int64
}

// NewReports returns Reports that spend from an account.
func NewReports(a *Account, clock carobward.Clock) *Reports {
	return &Reports{account: a, clock: clock}
}

// reportDivisor divides the bytes of the budget to get those for reports; the
// rest is left to probes.
const reportDivisor = 2

// Tick sets the interval of reports from the number of servers.
func (r *Reports) Tick(now time.Time, servers int) {
	limit := r.account.Limit(now).Bytes / reportDivisor
	if limit == 0 {
		r.interval.Store(int64(time.Hour))

		return
	}

	r.interval.Store(int64(time.Second) * int64(servers) * maxReportBytes / limit)
}

// Ask reports whether the next call to a server should ask for a report. If so,
// Took must be called when the call has ended.
func (r *Reports) Ask(s *cwserver.Server) bool {
	now := r.clock.Now()
	if now.Sub(s.Report().At) < time.Duration(r.interval.Load()) {
		return false
	}

	return r.account.ReserveReport(now, maxReportBytes)
}

// Took counts the bytes of the report in the reply to a call. The reply is nil
// if the call was given up; then all reserved bytes count as spent.
func (r *Reports) Took(asked bool, reply *carobward.Reply) {
	bytes := int64(0)

	if reply != nil {
		if report := reply.Header.Get(carobward.HeaderReport); report != "" {
			bytes = fieldBytes(carobward.HeaderReport, report)
		}
	}

	switch now := r.clock.Now(); {
	case !asked:
		r.unasked.Add(bytes)
	case reply == nil:
		r.account.Settle(now.Add(maxReportDelay), Cost{Bytes: maxReportBytes}, Cost{Bytes: maxReportBytes})
	default:
		bytes += fieldBytes(carobward.HeaderAsk, carobward.AskReport)
		r.account.Settle(now, Cost{Bytes: maxReportBytes}, Cost{Bytes: bytes})
	}
}

// Unasked returns the bytes of reports that were not asked for, which no budget
// can prevent.
func (r *Reports) Unasked() int64 { return r.unasked.Load() }

// fieldBytes returns the size of a header field on the wire.
func fieldBytes(name, value string) int64 {
	const separators = len(": \r\n")

	return int64(len(name) + len(value) + separators)
}
