package cwspread

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Result is the measurement of one case on a fleet of one size.
type Result struct {
	// Case is the name of the case.
	Case string
	// VMs is the number of entry VMs.
	VMs int
	// Took has, in ascending order, the time of each change until it was
	// effective on the last entry VM that is not paused: from the start of its
	// write, or over loopback from its acceptance. It is empty if nothing was
	// changed.
	Took []time.Duration
	// Span is the length of the measurement.
	Span time.Duration
	// Bytes is the size of all exchanges between the entry VMs, without the
	// transport's overhead.
	Bytes int
	// Calls is the number of store calls that have ended; a watch counts when
	// it returns.
	Calls int
	// Counted reports whether Bytes and Calls are known.
	Counted bool
}

const (
	none       = "-"
	percentage = 100
	median     = 50
	ninetieth  = 90
)

// quantile returns a percentile of the times, in seconds.
func (r *Result) quantile(percent int) string {
	if len(r.Took) == 0 {
		return none
	}

	return fmt.Sprintf("%.3f", r.Took[min(len(r.Took)*percent/percentage, len(r.Took)-1)].Seconds())
}

// perChange returns the bytes per change and entry VM.
func (r *Result) perChange() string {
	if len(r.Took) == 0 || !r.Counted {
		return none
	}

	return fmt.Sprintf("%.0f", float64(r.Bytes)/float64(len(r.Took)*r.VMs))
}

// perSecond returns an amount per second of the measurement.
func (r *Result) perSecond(amount float64) string {
	if !r.Counted {
		return none
	}

	return fmt.Sprintf("%.1f", amount/r.Span.Seconds())
}

// WriteTable prints one line per result. Times are in seconds.
func WriteTable(to io.Writer, results []Result) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "case\tVMs\tchanges\teffective p50 s\tp90 s\tmax s\tB/change/VM\tB/s/VM\tstore calls/s\t")

	for i := range results {
		r := &results[i]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			r.Case, r.VMs, len(r.Took), r.quantile(median), r.quantile(ninetieth), r.quantile(percentage),
			r.perChange(), r.perSecond(float64(r.Bytes)/float64(r.VMs)), r.perSecond(float64(r.Calls)))
	}

	return errors.Annotate(w.Flush(), "spread")
}

// WriteScenarios runs all scenarios on the naive system and on the product, and
// prints what is wrong at their end.
func WriteScenarios(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "scenario\tnaive\tproduct\t")

	all := Scenarios()

	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}

	slices.Sort(names)

	for _, name := range names {
		f := New(ScenarioVMs, NewClock(time.Now()))
		if !f.Join() {
			return errors.New("spread: the fleet did not join")
		}

		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t\n", name, verdict(all[name](NewNaive(ScenarioVMs))), verdict(all[name](NewProduct(f))))
	}

	return errors.Annotate(w.Flush(), "spread")
}

func verdict(wrong string) string {
	if wrong == "" {
		return "holds"
	}

	return wrong
}
