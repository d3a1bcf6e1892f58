package main

import (
	"crypto/rand"
	"fmt"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwoperator"
)

const usageApply = `Make the targets in a file or folder the ones in force. Targets that the
files do not have are left alone, unless --prune is given. The change is
refused as a whole if another one has touched the same targets meanwhile.

Exit codes: 0 accepted, 1 failed, 3 refused and nothing changed, 4 unknown:
run the same command again, it changes nothing twice.`

type applyCommand struct {
	changeFlags

	Author string `long:"author" env:"USER" description:"Who makes the change, for others to read."`
}

// Execute makes the change.
func (c *applyCommand) Execute([]string) error {
	change, err := c.change()
	if err != nil {
		return err
	}

	printChange(change)

	if change.Empty() {
		return nil
	}

	change.ID = carobward.ChangeID(rand.Text())
	change.Author = c.Author

	var done cwoperator.Applied
	if err := c.call(fasthttp.MethodPost, "/config", change, &done); err != nil {
		return err
	}

	fmt.Printf("Accepted as revision %d.\n", done.Revision)

	return nil
}
