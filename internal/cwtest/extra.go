package cwtest

import (
	"math"
	"slices"
	"time"
)

// ExtraLimit is the operators' limit on calls beyond the first of each request, over all entry
// VMs: in any span, Share of the requests of that span, of the one before it or of the one half a
// span before it, whichever has most, and Fixed more.
type ExtraLimit struct {
	Share, Fixed float64
	Span         time.Duration
}

// ExtraSpan is a span, with its extra calls and how many are allowed.
type ExtraSpan struct {
	From    time.Time
	Extras  int
	Allowed float64
}

// Worst returns the span with the largest excess of extra calls, given when callers sent requests
// and when servers received calls beyond the first of a request. It looks at the spans that begin
// or end with such a call.
func (l *ExtraLimit) Worst(requests, extras []time.Time) ExtraSpan {
	requests, extras = slices.Clone(requests), slices.Clone(extras)
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(extras, time.Time.Compare)

	worst, most := ExtraSpan{}, math.Inf(-1)

	for _, at := range extras {
		for _, from := range []time.Time{at, at.Add(-l.Span)} {
			s := l.span(requests, extras, from)
			if excess := float64(s.Extras) - s.Allowed; excess > most {
				worst, most = s, excess
			}
		}
	}

	return worst
}

func (l *ExtraLimit) span(requests, extras []time.Time, from time.Time) ExtraSpan {
	asked := max(l.count(requests, from), l.count(requests, from.Add(-l.Span)), l.count(requests, from.Add(-l.Span/2)))

	return ExtraSpan{From: from, Extras: l.count(extras, from), Allowed: l.Share*float64(asked) + l.Fixed}
}

// count returns how many times of a sorted list are in the span from a time on, with its ends.
func (l *ExtraLimit) count(list []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(list, from.Add(l.Span+1), time.Time.Compare)

	return end - first
}
