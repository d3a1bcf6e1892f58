package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwoperator"
)

const usageStatus = `Show all entry VMs as one of them sees them, and which revision is in force
on each. AGE is the time since an entry VM last got a confirmation that its
revision is the newest: it grows while neither the store nor a peer is reached.

Exit codes: 0; with --check 5 unless the newest revision is in force on each
entry VM that is not dead, and none has an alarm.`

type statusCommand struct {
	clientFlags

	Check bool `long:"check" description:"Fail unless all is well."`
}

// Execute prints the table.
func (c *statusCommand) Execute([]string) error {
	var s cwoperator.Status
	if err := c.call(fasthttp.MethodGet, "/status", nil, &s); err != nil {
		return err
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tDOMAIN\tREADY\tAGE\tSTATE\tREVISION")

	alarms := 0

	for _, v := range s.VMs {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", v.VM, v.Domain, ready(&v), age(&v), v.State, v.Revision)
	}

	if err := w.Flush(); err != nil {
		return err
	}

	for _, v := range s.VMs {
		if v.Alarm != "" {
			alarms++

			fmt.Printf("alarm on %s: %s\n", v.VM, v.Alarm)
		}
	}

	if left := s.Without(s.Revision); c.Check && len(left)+alarms > 0 {
		return errors.Annotatef(errPending, "revision %d: %d entry VMs lack it, %d have an alarm", s.Revision, len(left), alarms)
	}

	return nil
}

func ready(v *cwoperator.VMStatus) string {
	switch {
	case !v.Answered:
		return "no answer"
	case v.Ready:
		return "yes"
	default:
		return "no"
	}
}

func age(v *cwoperator.VMStatus) string {
	if v.AgeMillis < 0 {
		return "never"
	}

	return (time.Duration(v.AgeMillis) * time.Millisecond).Round(time.Second / 10).String()
}
