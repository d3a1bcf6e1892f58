package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwtarget"
)

const usageCheck = `Check settings, targets or both without touching anything. It finds what
serve and apply would refuse, names every problem with its place in the file,
and reads the key files that the settings name. With both it also looks for
targets with larger bodies than the settings allow.

  carobward check --settings ifrane-1.jsonc --targets targets/

Warnings are about what works but should be changed; they don't affect the
exit code. Exit codes: 0 fit, 1 not fit, 2 wrong usage.`

type checkCommand struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"Settings file to check."`
	Targets  string `short:"t" long:"targets" value-name:"FILE-OR-FOLDER" description:"Targets to check."`
}

// errNothingToCheck means that neither settings nor targets were given.
const errNothingToCheck = errors.ConstError("check: name --settings, --targets or both")

// Execute checks the settings, the targets or both.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Targets == "" {
		return errNothingToCheck
	}

	settings, settingsErr := c.settings()
	targets, targetsErr := c.targets()

	if err := firstError(settingsErr, targetsErr); err != nil {
		if settingsErr != nil && targetsErr != nil {
			return fmt.Errorf("%w\n%w", settingsErr, targetsErr)
		}

		return err
	}

	if c.Settings != "" {
		c.compare(&settings, &targets)
	}

	return nil
}

func (c *checkCommand) settings() (cwsettings.Settings, error) {
	if c.Settings == "" {
		return cwsettings.Settings{}, nil
	}

	s, err := cwsettings.Load(c.Settings)
	if err != nil {
		return s, err
	}

	warnings, err := s.CheckKeys()
	for _, w := range warnings {
		warn(w)
	}

	if err == nil {
		fmt.Println(c.Settings, "is fit to serve with.")
	}

	return s, err
}

func (c *checkCommand) targets() (cwtarget.Set, error) {
	if c.Targets == "" {
		return cwtarget.Set{}, nil
	}

	s, err := cwtarget.Load(c.Targets)
	if err == nil {
		fmt.Printf("%s is fit to apply, %d targets.\n", c.Targets, len(s.Targets))
	}

	return s, err
}

// compare warns about targets that allow larger bodies than the settings do.
func (c *checkCommand) compare(s *cwsettings.Settings, set *cwtarget.Set) {
	for i := range set.Targets {
		if t := &set.Targets[i]; t.Body > s.Limits.Body {
			warn(fmt.Sprintf(`target %q: "body" is %d bytes, but "limits.body" of the settings lets only %d through`, t.Name, t.Body, s.Limits.Body))
		}
	}
}

func warn(text string) { _, _ = fmt.Fprintln(os.Stderr, "warning:", text) }
