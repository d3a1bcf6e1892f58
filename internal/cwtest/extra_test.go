package cwtest_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwtest"
)

// TestExtraLimitWorst checks which span is taken for the worst, and what it allows.
func TestExtraLimitWorst(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds ...int) []time.Time {
		var list []time.Time
		for _, s := range seconds {
			list = append(list, start.Add(time.Duration(s)*time.Second))
		}

		return list
	}

	type span struct {
		From, Extras int
		Allowed      float64
	}

	for name, c := range map[string]struct {
		requests, extras []time.Time
		want             span
	}{
		"one":                              {at(0, 1), at(1), span{1, 1, 1.4}},
		"both ends belong to it":           {at(0, 10), at(0, 10), span{0, 2, 1.4}},
		"one after it doesn't":             {at(0, 11), at(0, 11), span{0, 1, 1.2}},
		"the span before has most":         {at(4, 5, 6, 7, 8, 15), at(14, 15, 16), span{14, 3, 2}},
		"the one half a span before":       {at(10, 11, 12, 13, 16), at(15, 16), span{15, 2, 2}},
		"it ends with the last extra call": {at(25, 26, 27), at(20), span{10, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l := cwtest.ExtraLimit{Share: 0.2, Fixed: 1, Span: 10 * time.Second}
			w := l.Worst(c.requests, c.extras)

			if diff := cmp.Diff(c.want, span{int(w.From.Sub(start) / time.Second), w.Extras, w.Allowed}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
