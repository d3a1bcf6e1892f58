package cwassignment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteDistribution writes a table of the distributions.
func WriteDistribution(out io.Writer, all []Distribution) error {
	const percent = 100

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "VMs\ttargets\tleast a VM\tmost a VM\tmoved by a loss\tnaive moved\t")

	for _, s := range all {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%.1f %%\t%.1f %%\t\n",
			s.VMs, s.Targets, s.Min, s.Max, percent*s.Moved, percent*s.NaiveMoved)
	}

	return errors.Annotate(w.Flush(), "carriers")
}

// WriteSettle writes the widths of each round, by entry VM in the order of
// assignment.
func WriteSettle(out io.Writer, vms int, rounds [][]int) error {
	for i, widths := range rounds {
		if _, err := fmt.Fprintf(out, "%d VMs, round %d: widths %v\n", vms, i, widths); err != nil {
			return errors.Annotate(err, "carriers")
		}
	}

	return nil
}
