package cwconfig

import (
	"fmt"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Conflict is the error for a change that overlaps with one accepted since its
// base. The change was not applied.
type Conflict struct {
	// Other is the change that was accepted first.
	Other Change
	// Target is the target that both changes touch. It is empty if both set
	// the measuring budget, or if either replaces the whole configuration.
	Target carobward.TargetName
}

// Error returns a message that names the other change.
func (c *Conflict) Error() string {
	what := "the measuring budget"

	switch {
	case c.Target != "":
		what = fmt.Sprintf("target %q", c.Target)
	case c.Other.FullSet != nil:
		what = "everything"
	}

	by := ""
	if c.Other.Author != "" {
		by = " by " + c.Other.Author
	}

	return fmt.Sprintf("config: %s was changed in revision %d%s (change %s) after your base", what, c.Other.Revision, by, c.Other.ID)
}

// ErrBaseTooOld means that the changes since the base are not all retained, so
// that conflicts with them can't be ruled out.
const ErrBaseTooOld = errors.ConstError("config: the base is too old, read the configuration again")

// findChange returns the change with the given ID, if it is among changes.
func findChange(changes []Change, id carobward.ChangeID) (Change, bool) {
	for i := range changes {
		if changes[i].ID == id {
			return changes[i], true
		}
	}

	return Change{}, false
}

// checkConflicts returns a Conflict if a change overlaps with one accepted since
// its base. The changes given are the last ones up to revision now, oldest
// first.
func checkConflicts(change *Change, changes []Change, now carobward.Revision) error {
	if change.Base > now {
		return errors.Errorf("config: base %d is not accepted yet, the last revision is %d", change.Base, now)
	}

	if change.Base == now {
		return nil
	}

	if len(changes) == 0 || changes[0].Revision > change.Base+1 {
		return ErrBaseTooOld
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

// overlap returns a Conflict if two changes touch the same target, both set the
// measuring budget, or either replaces the whole configuration.
func overlap(change, other *Change) error {
	if other.FullSet != nil || change.FullSet != nil {
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

// CheckRevert returns a Conflict if a change with the same Source was accepted
// before and another author has made an overlapping change since: applying it
// again would revert that author's change. An operator who wants this gives
// the base explicitly.
func CheckRevert(change *Change, changes []Change) error {
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
