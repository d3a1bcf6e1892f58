package cwleave

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Last is the longest time from the signal to the last new request to the
// server, in fleets with faults.
type Last struct {
	VMs    int
	Signal string
	Time   time.Duration
}

// Worst returns the longest times over a number of seeds: one for each signal,
// and one for a balancer that relies on a VM list with a lag.
func Worst(first, seeds uint64, vms int, lag time.Duration) []Last {
	runs := Signals()
	all := make([]Last, 0, len(runs)+1)

	for _, s := range runs {
		all = append(all, worst(first, seeds, vms, s.Name, s.LastWork))
	}

	naive := func(f *Fleet) time.Duration { return NaiveLastWork(f, lag) }

	return append(all, worst(first, seeds, vms, fmt.Sprintf("naive: VM list, %s late", lag), naive))
}

func worst(first, seeds uint64, vms int, name string, run func(*Fleet) time.Duration) Last {
	l := Last{VMs: vms, Signal: name}
	for seed := range seeds {
		l.Time = max(l.Time, run(New(first+seed, vms, true)))
	}

	return l
}

// WriteLast writes a table of the longest times.
func WriteLast(out io.Writer, all []Last) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VMs\tfirst sign\tlast work, s")

	for _, l := range all {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%.1f\n", l.VMs, l.Signal, l.Time.Seconds())
	}

	return errors.Annotate(w.Flush(), "leave")
}

// WriteCost writes a table of the cost.
func WriteCost(out io.Writer, all []Cost) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "VMs\tidle calls/s\tidle B/s\tcalls a leave\tB a leave\tlast work, s\t")

	for _, c := range all {
		_, _ = fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.1f\t%.0f\t%.1f\t\n",
			c.VMs, c.IdleCalls, c.IdleBytes, c.Calls, c.Bytes, c.Last.Seconds())
	}

	return errors.Annotate(w.Flush(), "leave")
}
