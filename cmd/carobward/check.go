package main

import (
	"fmt"

	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwtarget"
)

const usageCheck = `Check settings, targets or both without touching anything. It finds what
serve and apply would refuse.`

type checkCommand struct {
	Settings string `short:"s" long:"settings" description:"Settings file to check."`
	Targets  string `short:"t" long:"targets" description:"File or folder of targets to check."`
}

// Execute checks what was named.
func (c *checkCommand) Execute([]string) error {
	if c.Settings != "" {
		if _, err := cwsettings.Load(c.Settings); err != nil {
			return err
		}

		fmt.Println(c.Settings, "is fit to serve with.")
	}

	if c.Targets != "" {
		s, err := cwtarget.Load(c.Targets)
		if err != nil {
			return err
		}

		fmt.Printf("%s is fit to apply, %d targets.\n", c.Targets, len(s.Targets))
	}

	return nil
}
