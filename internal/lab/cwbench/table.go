package cwbench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteTable prints one line for each result. Times are in milliseconds.
func WriteTable(to io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "scenario\tvariant\tcalls\tanswered %\tp50\tp90\tp99\tp99.9\tonce %\tonce p99\textra %\trepeats\tp99/truth\tnaive/p99\tnaive/p99.9\t")

	for _, r := range results {
		truth, naive := find(results, r.Scenario, nameTruth), find(results, r.Scenario, nameNaive)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.2f\t%d\t%.2f\t%.2f\t%.2f\t\n",
			r.Scenario, r.Variant, r.Calls, percent(r.Answered, r.Calls),
			millis(r.Quick.P50), millis(r.Quick.P90), millis(r.Quick.P99), millis(r.Quick.P999),
			percent(r.Once.Answered, r.Once.Calls), millis(r.Once.P99), percent(r.Extra, r.Total), r.Servers.Repeats,
			ratio(r.Quick.P99, truth.Quick.P99), ratio(naive.Quick.P99, r.Quick.P99), ratio(naive.Quick.P999, r.Quick.P999))
	}

	return errors.Annotate(w.Flush(), "bench")
}

// WriteMeasuring prints what load measurements cost the servers, and their
// connections.
func WriteMeasuring(to io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "scenario\tvariant\trequests\tran\tprobes\tprobes/100\tprobe bytes\treport bytes/call\tconnections\t")

	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.3f\t%d\t%.0f\t%d\t\n",
			r.Scenario, r.Variant, r.Total, r.Servers.Ran, r.Servers.Probes, percent(int(r.Servers.Probes), r.Total),
			r.Servers.ProbeBytes, ratio(r.Servers.ReportBytes, r.Servers.Ran), r.Servers.Opened)
	}

	return errors.Annotate(w.Flush(), "bench")
}

// WriteTrouble prints goodput and recovery for the results whose scenario has an
// interval of trouble.
func WriteTrouble(to io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)

	for i, r := range results {
		if r.Trouble == nil {
			continue
		}

		if i == 0 {
			_, _ = fmt.Fprintln(w, "scenario\tvariant\tanswered in trouble\t% of room\tback to normal after s\t")
		}

		after := "never"
		if r.Trouble.Recovered {
			after = fmt.Sprintf("%.1f", r.Trouble.Recovery.Seconds())
		}

		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%s\t\n",
			r.Scenario, r.Variant, r.Trouble.Answered, percent(r.Trouble.Answered, r.Trouble.Room), after)
	}

	return errors.Annotate(w.Flush(), "bench")
}

// WriteJSON writes the results as JSON.
func WriteJSON(to io.Writer, results []*Result) error {
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")

	return errors.Annotate(e.Encode(results), "bench")
}

// find returns the result of a variant in a scenario, or an empty one.
func find(results []*Result, scenario, variant string) *Result {
	for _, r := range results {
		if r.Scenario == scenario && r.Variant == variant {
			return r
		}
	}

	return &Result{}
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}

	return float64(a) / float64(b)
}

func millis(micros int64) float64 {
	const microsPerMilli = 1000

	return float64(micros) / microsPerMilli
}

func percent(part, whole int) float64 {
	const hundred = 100

	if whole == 0 {
		return 0
	}

	return hundred * float64(part) / float64(whole)
}
