package cwlink

import (
	"strconv"
	"strings"
	"time"

	"carobward.example/carobward"
)

// The names in a report, see docs/server-protocol.md.
const (
	metricPrefix   = "named_metrics."
	metricSlots    = "slots"
	metricRunning  = "running"
	metricQueued   = "queued"
	metricDraining = "draining"
	metricRun      = "run"
	formatText     = "TEXT"
)

// ParseReport reads a load report in the text format of ORCA: "TEXT" and a
// list of name=value. The zero Report means that there is none to read.
func ParseReport(text string, at time.Time) carobward.Report {
	list, ok := strings.CutPrefix(text, formatText)
	if !ok {
		return carobward.Report{}
	}

	r := carobward.Report{At: at}

	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			continue
		}

		name = strings.TrimPrefix(name, metricPrefix)

		n, err := strconv.ParseFloat(value, 64)
		// NaN is in no range.
		if err != nil || !(n >= 0 && n <= most(name)) {
			continue
		}

		switch name {
		case metricSlots:
			r.Slots = int(n)
		case metricRunning:
			r.Running = int(n)
		case metricQueued:
			r.Queued = int(n)
		case metricDraining:
			r.Draining = n > 0
		case metricRun:
			r.Run = uint64(n)
		}
	}

	return r
}

// What a server may claim is bounded. A run may be a time in seconds.
const (
	maxCount = 1 << 20
	maxRun   = 1 << 40
)

func most(name string) float64 {
	if name == metricRun {
		return maxRun
	}

	return maxCount
}
