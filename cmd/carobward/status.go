package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwoperator"
)

const usageStatus = `Show all entry VMs as one of them sees them, and which revision is in force
on each.`

type statusCommand struct {
	clientFlags
}

// Execute prints the table.
func (c *statusCommand) Execute([]string) error {
	var s cwoperator.Status
	if err := c.call(fasthttp.MethodGet, "/status", nil, &s); err != nil {
		return err
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tDOMAIN\tSTATE\tREVISION")

	for _, v := range s.VMs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", v.VM, v.Domain, v.State, v.Revision)
	}

	return w.Flush()
}
