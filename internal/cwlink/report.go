package cwlink

import (
	"strconv"
	"strings"
	"time"

	"carobward.example/carobward"
)

// Names in a load report, see docs/server-protocol.md.
const (
	metricPrefix   = "named_metrics."
	metricSlots    = "slots"
	metricRunning  = "running"
	metricQueued   = "queued"
	metricDraining = "draining"
	metricRun      = "run"
	formatText     = "TEXT"
)

// ParseReport parses a load report in the text format of ORCA: "TEXT" and a list
// of name=value pairs. It returns the zero Report for any other format. Invalid,
// unknown and out-of-range values are ignored.
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
		// Written so that NaN fails the range check.
		if err != nil || !(n >= 0 && n <= maxMetric(name)) {
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

// Upper bounds of the values in a report. The run identifies a server process and
// may be a Unix time in seconds, so its bound is higher.
const (
	maxCount = 1 << 20
	maxRun   = 1 << 40
)

func maxMetric(name string) float64 {
	if name == metricRun {
		return maxRun
	}

	return maxCount
}
