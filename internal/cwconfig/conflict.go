package cwconfig

import (
	"fmt"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Conflict says that a change touches what another one changed since its
// base. Nothing was changed.
type Conflict struct {
	// Other is the change that came first.
	Other Change
	// Target is the target both touch; empty for the measuring budget, or
	// where Other replaced everything.
	Target carobward.TargetName
}

// Error names the other change.
func (c *Conflict) Error() string {
	what := "the measuring budget"

	switch {
	case c.Target != "":
		what = fmt.Sprintf("target %q", c.Target)
	case c.Other.Whole != nil:
		what = "everything"
	}

	by := ""
	if c.Other.Author != "" {
		by = " by " + c.Other.Author
	}

	return fmt.Sprintf("config: %s was changed in revision %d%s (change %s) after your base", what, c.Other.Revision, by, c.Other.ID)
}

// ErrBase tells that the change's base is too old to tell what came since.
const ErrBase = errors.ConstError("config: the base is too old, read the configuration again")

// find returns the change with an id among the given ones.
func find(changes []Change, id carobward.ChangeID) (Change, bool) {
	for i := range changes {
		if changes[i].ID == id {
			return changes[i], true
		}
	}

	return Change{}, false
}

// check looks for a conflict of a change with the ones since its base. The
// changes given are the last ones up to revision now, oldest first.
func check(change *Change, changes []Change, now carobward.Revision) error {
	if change.Base > now {
		return errors.Errorf("config: base %d is not accepted yet, the last revision is %d", change.Base, now)
	}

	if change.Base == now {
		return nil
	}

	if len(changes) == 0 || changes[0].Revision > change.Base+1 {
		return ErrBase
	}

	for i := range changes {
		if changes[i].Revision <= change.Base {
			continue
		}

		if err := overlap(change, &changes[i]); err != nil {
			return err
		}
	}

	return nil
}

// overlap returns a Conflict if two changes touch the same.
func overlap(change, other *Change) error {
	if other.Whole != nil || change.Whole != nil {
		return &Conflict{Other: *other}
	}

	if other.Measure != nil && change.Measure != nil {
		return &Conflict{Other: *other}
	}

	mine := change.Touched()

	for name := range other.Touched() {
		if mine[name] {
			return &Conflict{Other: *other, Target: name}
		}
	}

	return nil
}

// Repeated returns a Conflict if the change's intent was accepted before and
// somebody else has changed the same since: making it once more would revert
// the other's change. An operator who wants that names the base.
func Repeated(change *Change, changes []Change) error {
	seen := false

	for i := range changes {
		other := &changes[i]
		if other.Source == change.Source && other.Source != "" {
			seen = true

			continue
		}

		if !seen || other.Author == change.Author {
			continue
		}

		if err := overlap(change, other); err != nil {
			return err
		}
	}

	return nil
}
