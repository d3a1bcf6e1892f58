package main

import (
	"encoding/json"
	"fmt"
)

const usageGet = `Print the targets in force on one entry VM, in the format that apply takes,
or the last changes: who changed what in which revision.`

type getCommand struct {
	clientFlags

	Recent bool `long:"recent" description:"Print the last changes instead, oldest first."`
}

// Execute prints the targets or the last changes.
func (c *getCommand) Execute([]string) error {
	if c.Recent {
		return c.recent()
	}

	v, err := c.view(false)
	if err != nil {
		return err
	}

	raw, err := json.MarshalIndent(v.Set, "", "  ")
	if err != nil {
		return err
	}

	fmt.Printf("// Revision %d.\n%s\n", v.Revision, raw)

	return nil
}

func (c *getCommand) recent() error {
	v, err := c.view(true)
	if err != nil {
		return err
	}

	for i := range v.Recent {
		change := &v.Recent[i]

		fmt.Printf("revision %d by %s, change %s\n", change.Revision, authorName(change.Author), change.ID)
		printChange(change)
	}

	return nil
}

func authorName(name string) string {
	if name == "" {
		return "someone unnamed"
	}

	return name
}
