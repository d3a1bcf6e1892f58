package cwstand

import (
	"fmt"
	"time"
)

// Load is the load that a server reports.
type Load struct {
	Slots, Running, Queued int
	Draining               bool
	// Run is the number of the server's process, higher for each restart. Reports
	// omit 0.
	Run uint64
}

// String returns the report in ORCA's text format.
func (l Load) String() string {
	text := fmt.Sprintf("TEXT named_metrics.slots=%d, named_metrics.running=%d, named_metrics.queued=%d",
		l.Slots, l.Running, l.Queued)
	if l.Draining {
		text += ", named_metrics.draining=1"
	}

	if l.Run > 0 {
		text += fmt.Sprintf(", named_metrics.run=%d", l.Run)
	}

	return text
}

// Lie is the way in which a server misreports its load.
type Lie string

// The lies.
const (
	// LieNone reports the actual load.
	LieNone Lie = ""
	// LieIdle always reports an idle server.
	LieIdle Lie = "idle"
	// LieFull always reports that all slots are in use.
	LieFull Lie = "full"
)

// Reporter produces a server's load reports, which may be stale or wrong. It is
// not safe for concurrent use.
type Reporter struct {
	// Lag is the age of the load in a report.
	Lag time.Duration
	// Lie selects how the reports are wrong.
	Lie Lie

	history []loadAt
}

type loadAt struct {
	at   time.Duration
	load Load
}

// maxHistory is the maximum number of loads in the history.
const maxHistory = 1 << 14

// Report records the current load and returns the load to report.
func (r *Reporter) Report(now time.Duration, l Load) Load {
	if r.Lag > 0 {
		l = r.lagged(now, l)
	}

	switch r.Lie {
	case LieIdle:
		l.Running, l.Queued = 0, 0
	case LieFull:
		l.Running = l.Slots
	case LieNone:
	}

	return l
}

// lagged returns the load as of Lag ago: the last one recorded until then, or an
// idle server if there is none.
func (r *Reporter) lagged(now time.Duration, l Load) Load {
	r.history = append(r.history, loadAt{now, l})
	old := 0

	for old+1 < len(r.history) && r.history[old+1].at <= now-r.Lag {
		old++
	}

	r.history = r.history[max(old, len(r.history)-maxHistory):]
	if r.history[0].at > now-r.Lag {
		return Load{Slots: l.Slots}
	}

	return r.history[0].load
}
