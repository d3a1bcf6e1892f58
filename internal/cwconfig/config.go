// Package cwconfig distributes the operators' configuration to the entry VMs.
// The configuration has one revision as a whole; changes to it are deltas
// written to a shared store. Each entry VM holds an effective copy, kept up to
// date from the store and from peers, whose revision never decreases.
package cwconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// Config is one revision of the whole configuration.
type Config struct {
	// Revision is zero for the empty configuration before the first change.
	Revision carobward.Revision `json:"revision"`
	// Chain is the hash of the history that led to this revision.
	Chain Chain `json:"chain"`
	// Set holds the targets and the measuring budget.
	Set cwtarget.Set `json:"set"`
}

// The errors of applying changes to a configuration.
const (
	// ErrGap means that changes between the two revisions are missing; a
	// full copy is needed.
	ErrGap = errors.ConstError("config: changes are missing in between")
	// ErrTooLarge means that a value exceeds the size limit of the store.
	// The targets of a valid Set never do.
	ErrTooLarge = errors.ConstError("config: too large for the store")
)

// Diverged is the error for two different histories with the same revision.
type Diverged struct {
	Revision carobward.Revision
	Ours     Chain
	Theirs   Chain
}

// Error returns a message with both chains.
func (d *Diverged) Error() string {
	return fmt.Sprintf("config: revision %d has another history (%s) than ours (%s)", d.Revision, d.Theirs, d.Ours)
}

// With returns the configuration after a change, and the change with its
// revision and chain set.
func (c *Config) With(change Change) (*Config, Change, error) {
	change.Revision = c.Revision + 1

	chain, err := change.chainAfter(c.Chain)
	if err != nil {
		return nil, change, err
	}

	change.Chain = chain

	next := c.apply(&change)
	if err := next.Set.Validate(); err != nil {
		return nil, change, err
	}

	return next, change, nil
}

// apply applies a change whose revision and chain are set.
func (c *Config) apply(change *Change) *Config {
	next := &Config{Revision: change.Revision, Chain: change.Chain}

	if change.FullSet != nil {
		next.Set = *change.FullSet
	} else {
		next.Set = merge(&c.Set, change)
	}

	return next
}

// Replay applies the changes with a higher revision than c's. It returns c
// itself if there are none. The error is ErrGap, a Diverged or ErrUnreadable.
func (c *Config) Replay(changes []Change) (*Config, error) {
	changes = changes[lastFull(changes, c.Revision):]
	result := c

	for i := range changes {
		change := &changes[i]

		switch {
		case change.Revision < c.Revision:
			continue
		case change.Revision == c.Revision:
			if change.Chain != c.Chain {
				return nil, &Diverged{Revision: c.Revision, Ours: c.Chain, Theirs: change.Chain}
			}

			continue
		case change.Revision != result.Revision+1 && change.FullSet == nil:
			return nil, ErrGap
		}

		next, err := result.verifyAndApply(change)
		if err != nil {
			return nil, err
		}

		result = next
	}

	if result == c {
		return c, nil
	}

	if err := result.Set.Validate(); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "config: revision %d", result.Revision), ErrUnreadable)
	}

	return result, nil
}

// lastFull returns the index of the last change after the revision beyond that
// replaces the whole configuration, or zero if there is none.
func lastFull(changes []Change, beyond carobward.Revision) int {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].FullSet != nil && changes[i].Revision > beyond {
			return i
		}
	}

	return 0
}

// verifyAndApply checks by its chain that a change continues c's history, and
// applies it.
func (c *Config) verifyAndApply(change *Change) (*Config, error) {
	chain, err := change.chainAfter(c.Chain)
	if err != nil {
		return nil, err
	}

	if chain != change.Chain {
		return nil, &Diverged{Revision: change.Revision, Ours: chain, Theirs: change.Chain}
	}

	return c.apply(change), nil
}

func merge(set *cwtarget.Set, change *Change) cwtarget.Set {
	touched := change.Touched()
	next := cwtarget.Set{Measure: set.Measure}

	if change.Measure != nil {
		next.Measure = change.Measure
	}

	for i := range set.Targets {
		if !touched[set.Targets[i].Name] {
			next.Targets = append(next.Targets, set.Targets[i])
		}
	}

	next.Targets = append(next.Targets, change.Put...)
	sort.Slice(next.Targets, func(i, j int) bool { return next.Targets[i].Name < next.Targets[j].Name })

	return next
}

// Diff returns the change that leads from c to the wanted set. Targets that
// are missing from the wanted set are removed only if prune is set.
func (c *Config) Diff(want cwtarget.Set, prune bool) Change {
	change := Change{Base: c.Revision}
	have := map[carobward.TargetName]*carobward.Target{}

	for i := range c.Set.Targets {
		have[c.Set.Targets[i].Name] = &c.Set.Targets[i]
	}

	for i := range want.Targets {
		w := &want.Targets[i]
		if h := have[w.Name]; h == nil || !equalTargets(h, w) {
			change.Put = append(change.Put, *w)
		}

		delete(have, w.Name)
	}

	if prune {
		for name := range have {
			change.Drop = append(change.Drop, name)
		}

		sort.Slice(change.Drop, func(i, j int) bool { return change.Drop[i] < change.Drop[j] })
	}

	if want.Measure != nil && (c.Set.Measure == nil || *c.Set.Measure != *want.Measure) {
		change.Measure = want.Measure
	}

	return change
}

func equalTargets(a, b *carobward.Target) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)

	return bytes.Equal(x, y)
}
