package cwbudget

import (
	"sync/atomic"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// reportMost is what is reserved for a report on a reply: the field that asks
// for it and the one that holds it.
const reportMost = 256

// lateAfter is how long after a call that was given up the server may still
// send its report.
const lateAfter = time.Second

// Reports decides which calls ask the server for a report with the reply.
type Reports struct {
	account *Account
	clock   carobward.Clock
	// every is the age in nanoseconds from which a report is asked for anew,
	// so that the budget suffices for all servers alike.
	every atomic.Int64
	// unasked counts the bytes of reports that servers sent unasked.
	unasked atomic.Int64
}

// NewReports returns what asks for reports within the account.
func NewReports(a *Account, clock carobward.Clock) *Reports {
	return &Reports{account: a, clock: clock}
}

// probeShare of the bytes is left to probes: one in so many parts.
const probeShare = 2

// Tick sets the pace by the number of servers.
func (r *Reports) Tick(now time.Time, servers int) {
	most := r.account.Most(now).Bytes / probeShare
	if most == 0 {
		r.every.Store(int64(time.Hour))

		return
	}

	r.every.Store(int64(time.Second) * int64(servers) * reportMost / most)
}

// Ask tells whether the next call to a server is to ask for a report. If so,
// Took must be called when the call has ended.
func (r *Reports) Ask(s *cwserver.Server) bool {
	now := r.clock.Now()
	if now.Sub(s.Report().At) < time.Duration(r.every.Load()) {
		return false
	}

	return r.account.ReserveReport(now, reportMost)
}

// Took counts what the reply to a call held; nil is a call that was given up.
func (r *Reports) Took(asked bool, reply *carobward.Reply) {
	bytes := int64(0)

	if reply != nil {
		if text := reply.Header.Get(carobward.HeaderReport); text != "" {
			bytes = fieldBytes(carobward.HeaderReport, text)
		}
	}

	switch now := r.clock.Now(); {
	case !asked:
		r.unasked.Add(bytes)
	case reply == nil:
		r.account.Settle(now.Add(lateAfter), Cost{Bytes: reportMost}, Cost{Bytes: reportMost})
	default:
		bytes += fieldBytes(carobward.HeaderAsk, carobward.AskReport)
		r.account.Settle(now, Cost{Bytes: reportMost}, Cost{Bytes: bytes})
	}
}

// Unasked returns the bytes of reports that servers sent unasked, which no
// budget can hold back.
func (r *Reports) Unasked() int64 { return r.unasked.Load() }

// fieldBytes returns the bytes of a header field on the wire.
func fieldBytes(name, value string) int64 {
	const separators = len(": \r\n")

	return int64(len(name) + len(value) + separators)
}
