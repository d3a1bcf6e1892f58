package main

import (
	"fmt"

	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwtarget"
)

const usageDiff = `Show what apply with the same file or folder would change. Exit code 0 in
any case but a failure.`

// changeFlags name the wanted targets.
type changeFlags struct {
	clientFlags

	Prune bool `long:"prune" description:"Also remove targets that the files do not have."`
	Args  struct {
		Targets string `positional-arg-name:"FILE-OR-FOLDER"`
	} `positional-args:"yes" required:"yes"`
}

// change returns the step from what is in force to the files.
func (f *changeFlags) change() (*cwconfig.Change, error) {
	want, err := cwtarget.Load(f.Args.Targets)
	if err != nil {
		return nil, err
	}

	config, err := f.config()
	if err != nil {
		return nil, err
	}

	change := config.Diff(want, f.Prune)

	return &change, nil
}

type diffCommand struct {
	changeFlags
}

// Execute prints the difference.
func (c *diffCommand) Execute([]string) error {
	change, err := c.change()
	if err != nil {
		return err
	}

	printChange(change)

	return nil
}

func printChange(c *cwconfig.Change) {
	if c.Empty() {
		fmt.Println("Nothing to change.")
	}

	for i := range c.Put {
		fmt.Println("put ", c.Put[i].Name)
	}

	for _, n := range c.Drop {
		fmt.Println("drop", n)
	}

	if c.Measure != nil {
		fmt.Printf("measure: %d calls and %d bytes a second\n", c.Measure.Calls, c.Measure.Bytes)
	}
}
