package cwspend

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwbudget"
)

// Worst is the worst second of one fleet with each spender.
type Worst struct {
	VMs            int
	Seed           uint64
	Account, Naive cwbudget.Cost
}

// Compare runs the same fleet with both spenders.
func Compare(budget cwbudget.Cost, vms int, seed uint64) Worst {
	return Worst{
		VMs:     vms,
		Seed:    seed,
		Account: New(budget, vms, seed, Account).Run(),
		Naive:   New(budget, vms, seed, Bucket).Run(),
	}
}

// WriteTable writes a table of the worst seconds, and the budget.
func WriteTable(out io.Writer, budget cwbudget.Cost, all []Worst) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintf(w, "VMs\tseed\tcalls\tbytes\tnaive calls\tnaive bytes\t\n")

	for _, one := range all {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t\n",
			one.VMs, one.Seed, one.Account.Calls, one.Account.Bytes, one.Naive.Calls, one.Naive.Bytes)
	}

	if err := w.Flush(); err != nil {
		return errors.Annotate(err, "budget")
	}

	_, err := fmt.Fprintf(out, "budget: %d calls and %d bytes a second\n", budget.Calls, budget.Bytes)

	return errors.Annotate(err, "budget")
}
