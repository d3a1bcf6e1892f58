package main

import (
	"encoding/json"
	"fmt"
)

const usageGet = `Print the targets in force on one entry VM, in the format that apply takes.`

type getCommand struct {
	clientFlags
}

// Execute prints the set.
func (c *getCommand) Execute([]string) error {
	config, err := c.config()
	if err != nil {
		return err
	}

	raw, err := json.MarshalIndent(config.Set, "", "  ")
	if err != nil {
		return err
	}

	fmt.Printf("// Revision %d.\n%s\n", config.Revision, raw)

	return nil
}
