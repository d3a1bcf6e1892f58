package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwoperator"
)

const usageDrain = `Stop new requests to a server, on all entry VMs within three seconds. Requests
in flight are finished. Then print which servers are leaving and which source
reported it: an operator, the server itself, its health endpoint or the VM list.
Without an address, only print them.

A drain lasts until --undo, or until the server has been off the VM list for
five minutes, even if the entry VM that got the command is replaced. --undo also
cancels what the other sources reported; what they report later counts again.`

type drainCommand struct {
	clientFlags

	Undo bool `long:"undo" description:"Have the server get work again."`
	Args struct {
		Address carobward.Address `positional-arg-name:"ADDRESS" description:"The server, as the VM list has it, such as 10.0.0.9:8080."`
	} `positional-args:"yes"`
}

// Execute starts or ends a drain if an address is given, and prints the
// leaving servers.
func (c *drainCommand) Execute([]string) error {
	var all []cwoperator.Leaving

	err := c.request(&all)
	if err != nil {
		return err
	}

	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVER\tLEAVES BY")

	for _, l := range all {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", l.Address, l.Source)
	}

	return w.Flush()
}

func (c *drainCommand) request(out *[]cwoperator.Leaving) error {
	if c.Args.Address == "" {
		return c.call(fasthttp.MethodGet, cwoperator.DrainPath, nil, out)
	}

	return c.call(fasthttp.MethodPost, cwoperator.DrainPath, cwoperator.Drain{Address: c.Args.Address, Undo: c.Undo}, out)
}
