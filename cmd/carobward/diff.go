package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwoperator"
	"carobward.example/carobward/internal/cwtarget"
)

const usageDiff = `Show what apply with the same file or folder would change. The exit
code is 0 unless the command fails.`

// changeFlags are the flags that determine a change.
type changeFlags struct {
	clientFlags

	Prune bool `long:"prune" description:"Also remove targets that the files do not have."`
}

// targetArgs is the positional argument that names the targets.
type targetArgs struct {
	Targets string `positional-arg-name:"FILE-OR-FOLDER"`
}

// change returns the change from the effective configuration to the targets
// in the files.
func (f *changeFlags) change(path string) (*cwconfig.Change, *cwoperator.View, error) {
	want, err := cwtarget.Load(path)
	if err != nil {
		return nil, nil, err
	}

	v, err := f.view(true)
	if err != nil {
		return nil, nil, err
	}

	change := v.Diff(want, f.Prune)
	change.Source, err = digest(want, f.Prune)

	return &change, v, err
}

// idBytes is the number of bytes of a SHA-256 digest in an ID.
const idBytes = 10

// digest returns the ID of a change. The same parts give the same ID.
func digest(parts ...any) (carobward.ChangeID, error) {
	raw, err := json.Marshal(parts)
	if err != nil {
		return "", err
	}

	sum := sha256.Sum256(raw)

	return carobward.ChangeID(hex.EncodeToString(sum[:idBytes])), nil
}

type diffCommand struct {
	changeFlags

	Args targetArgs `positional-args:"yes" required:"yes"`
}

// Execute prints the difference.
func (c *diffCommand) Execute([]string) error {
	change, _, err := c.change(c.Args.Targets)
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

	if c.FullSet != nil {
		fmt.Printf("everything was put back: %d targets\n", len(c.FullSet.Targets))
	}
}

// formatRevision formats a revision as a decimal number.
func formatRevision(r carobward.Revision) string { return strconv.FormatUint(uint64(r), 10) }
