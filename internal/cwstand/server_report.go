package cwstand

import (
	"fmt"
	"time"
)

// Load is what a server says of itself in a report.
type Load struct {
	Slots, Running, Queued int
	Draining               bool
	// Run numbers the server's runs, rising; 0 leaves it out.
	Run uint64
}

// String returns the report in the text format of ORCA.
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

// Lie is how a server's reports mislead.
type Lie string

// The lies.
const (
	// LieNone reports the truth.
	LieNone Lie = ""
	// LieIdle reports an idle server, whatever it does.
	LieIdle Lie = "idle"
	// LieFull reports that all slots are taken, whatever it does.
	LieFull Lie = "full"
)

// Reporter makes a server's reports, late or misleading ones if so told. It
// is not safe for use by several goroutines.
type Reporter struct {
	// Lag is how old the load in a report is.
	Lag time.Duration
	// Lie is how the reports mislead.
	Lie Lie

	history []loadAt
}

type loadAt struct {
	at   time.Duration
	load Load
}

// historyMost bounds the remembered loads.
const historyMost = 1 << 14

// Report notes the load now and returns the load to report.
func (r *Reporter) Report(now time.Duration, l Load) Load {
	if r.Lag > 0 {
		l = r.late(now, l)
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

// late returns the load as it was the lag ago: the last one noted before, or
// an idle server where there was none.
func (r *Reporter) late(now time.Duration, l Load) Load {
	r.history = append(r.history, loadAt{now, l})
	old := 0

	for old+1 < len(r.history) && r.history[old+1].at <= now-r.Lag {
		old++
	}

	r.history = r.history[max(old, len(r.history)-historyMost):]
	if r.history[0].at > now-r.Lag {
		return Load{Slots: l.Slots}
	}

	return r.history[0].load
}
