package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwoperator"
)

const usageApply = `Make the targets in a file or folder the ones in force. Targets that are not
in the files are kept unless --prune is given. If another change has touched the
same targets since the base, the whole change is refused and the other one is
named. After an accepted change, the command waits until the change is in force
on each entry VM and names those where it is not yet.

The same command may be run again at any time: it changes nothing twice, and
it does not revert what another operator has changed since, unless --base shows
that the other change was seen.

With --restore, the configuration in force on the fleet is written back to a
store that was restored from an older backup.

Exit codes: 0 accepted and in force everywhere, 1 failed and nothing was
changed, 3 refused and nothing was changed, 4 unknown: run the printed command,
5 accepted, but not yet in force on each entry VM.`

type applyCommand struct {
	changeFlags

	Author  string        `long:"author" env:"USER" description:"Who makes the change, for others to read."`
	Base    uint64        `long:"base" description:"Revision that the change was made upon; the one in force if not given."`
	Wait    time.Duration `long:"wait" default:"30s" description:"How long to wait until it is in force everywhere; 0 for not at all."`
	Timeout time.Duration `long:"timeout" default:"30s" description:"How long to find out what became of a change whose reply was lost."`
	Restore bool          `long:"restore" description:"Put the configuration in force back into a restored store."`

	Args struct {
		Targets string `positional-arg-name:"FILE-OR-FOLDER"`
	} `positional-args:"yes"`
}

// The intervals between requests: while the outcome of a change is unknown, and
// while waiting for the change to take effect.
const (
	retryInterval = 500 * time.Millisecond
	pollInterval  = 250 * time.Millisecond
)

// Execute applies the change and waits until it is in effect.
func (c *applyCommand) Execute([]string) error {
	if c.Restore == (c.Args.Targets != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "give either FILE-OR-FOLDER or --restore"}
	}

	if c.Restore {
		return c.restore()
	}

	change, v, err := c.change(c.Args.Targets)
	if err != nil {
		return err
	}

	printChange(change)

	if change.Empty() {
		return c.wait(v.Revision)
	}

	if err := c.complete(change, v); err != nil {
		return err
	}

	return c.send("/config", change)
}

// complete sets the author, the base and the ID of the change.
func (c *applyCommand) complete(change *cwconfig.Change, v *cwoperator.View) error {
	change.Author = c.Author

	if c.Base == 0 {
		if err := cwconfig.CheckRevert(change, v.Recent); err != nil {
			return errors.WithType(errors.Annotatef(err, `the same change was accepted before; to make it once more upon the other, add "--base %d"`, v.Revision), errRefused)
		}
	} else {
		change.Base = carobward.Revision(c.Base)
	}

	id, err := digest(change.Source, change.Base, c.Author)
	change.ID = id

	return err
}

func (c *applyCommand) restore() error {
	v, err := c.view(true)
	if err != nil {
		return err
	}

	id, err := digest("restore", v.Revision, v.Chain, c.Author)
	if err != nil {
		return err
	}

	return c.send("/restore", &cwconfig.Change{ID: id, Author: c.Author, Base: v.Revision})
}

// send sends the change until its outcome is known. The change has an ID, so
// that it takes effect only once.
func (c *applyCommand) send(path string, change *cwconfig.Change) error {
	var done cwoperator.Applied

	replyLost := false
	end := time.Now().Add(c.Timeout)

	for {
		err := c.call(fasthttp.MethodPost, path, change, &done)
		if err == nil {
			break
		}

		replyLost = replyLost || errors.Is(err, errUnknown) || errors.Is(err, errNoAnswer)

		switch {
		case refusedFor(err, cwoperator.CodeNotReady, cwoperator.CodeBusy) && time.Now().Before(end):
		case !replyLost || refusedFor(err, cwoperator.CodeConflict, cwoperator.CodeKey):
			// After a lost reply, a conflict proves that the change was not
			// accepted and never will be, since the store has a later revision
			// without it.
			return err
		case time.Now().After(end):
			c.printRetryCommand(change)

			return errors.WithType(err, errUnknown)
		}

		time.Sleep(retryInterval)
	}

	fmt.Printf("Accepted as revision %d.\n", done.Revision)

	if done.Newest > done.Revision {
		fmt.Printf("Others came after it, the newest is revision %d.\n", done.Newest)
	}

	return c.wait(done.Revision)
}

// printRetryCommand prints the command that finds out whether the change was
// accepted.
func (c *applyCommand) printRetryCommand(change *cwconfig.Change) {
	what := "--restore"
	if !c.Restore {
		what = "--base " + formatRevision(change.Base) + " " + c.Args.Targets
	}

	if c.Prune {
		what = "--prune " + what
	}

	fmt.Fprintf(os.Stderr, "To find out run: carobward apply --vm %s --author %q %s\n", c.VM, c.Author, what)
}

// wait waits until a revision is in effect on every entry VM. If that takes
// too long, it prints the entry VMs where it is not.
func (c *applyCommand) wait(r carobward.Revision) error {
	if c.Wait <= 0 || r == 0 {
		return nil
	}

	var pending []cwoperator.VMStatus

	for end := time.Now().Add(c.Wait); ; time.Sleep(pollInterval) {
		var s cwoperator.Status

		err := c.call(fasthttp.MethodGet, "/status", nil, &s)
		if pending = s.Without(r); err == nil && len(pending) == 0 {
			fmt.Printf("In force on %d entry VMs.\n", s.Reached(r))

			return nil
		}

		if time.Now().After(end) {
			printPending(pending)

			return errors.Annotatef(errPending, "revision %d", r)
		}
	}
}

func printPending(pending []cwoperator.VMStatus) {
	for i := range pending {
		v := &pending[i]
		fmt.Printf("not yet on %s in %s: %s, revision %d, ready %t, answered %t %s\n",
			v.VM, v.Domain, v.State, v.Revision, v.Ready, v.Answered, v.Alarm)
	}
}
