package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

const usageHelp = `Show what carobward does, or how one command is used.`

// usage is the text above the list of commands.
const usage = `carobward balances load for servers whose load shifts in milliseconds. On
each entry VM runs "carobward serve"; operators keep targets in files and use
the other commands.

Start here:
  carobward demo                          see it work on this machine
  carobward check --targets FILE          find mistakes before anyone else does
  carobward diff --vm ADDRESS FILE        see what apply would change
  carobward apply --vm ADDRESS FILE       make it so
  carobward status --vm ADDRESS           see where it is in force

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused and nothing was
changed, 4 unknown, 5 accepted or asked but not everywhere yet. See
docs/operators.md for what to do about each.`

type helpCommand struct {
	Args struct {
		Command string `positional-arg-name:"COMMAND" description:"The command to explain."`
	} `positional-args:"yes"`

	parser *flags.Parser
}

// Execute prints the help.
func (c *helpCommand) Execute([]string) error {
	c.parser.Active = nil

	if name := c.Args.Command; name != "" {
		found := c.parser.Find(name)
		if found == nil {
			return errors.Errorf("help: there is no command %q, see carobward help", name)
		}

		c.parser.Active = found
	}

	c.parser.WriteHelp(os.Stdout)

	return nil
}
