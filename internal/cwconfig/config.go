// Package cwconfig holds the operators' configuration: one revision for the
// whole, changes as deltas, and the copy in force on this entry VM, which
// never goes back.
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
	// Revision numbers it; zero means that there is none yet.
	Revision carobward.Revision `json:"revision"`
	// Chain is the hash of the history that led to it.
	Chain Chain `json:"chain"`
	// Set holds the targets and the measuring budget.
	Set cwtarget.Set `json:"set"`
}

// The errors of a step from one configuration to another.
const (
	// ErrGap tells that changes are missing in between: a full copy is
	// needed.
	ErrGap = errors.ConstError("config: changes are missing in between")
	// ErrSize tells that a value would not fit into the store. The targets
	// of a valid Set always do.
	ErrSize = errors.ConstError("config: too large for the store")
)

// Diverged says that there are two histories with the same revision.
type Diverged struct {
	Revision carobward.Revision
	Ours     Chain
	Theirs   Chain
}

// Error tells both chains.
func (d *Diverged) Error() string {
	return fmt.Sprintf("config: revision %d has another history (%s) than ours (%s)", d.Revision, d.Theirs, d.Ours)
}

// With returns the configuration after a change, and the change with its
// revision and chain.
func (c *Config) With(change Change) (*Config, Change, error) {
	change.Revision = c.Revision + 1

	chain, err := change.next(c.Chain)
	if err != nil {
		return nil, change, err
	}

	change.Chain = chain

	next := c.step(&change)
	if err := next.Set.Validate(); err != nil {
		return nil, change, err
	}

	return next, change, nil
}

// step applies a change that has its revision and chain.
func (c *Config) step(change *Change) *Config {
	next := &Config{Revision: change.Revision, Chain: change.Chain}

	if change.Whole != nil {
		next.Set = *change.Whole
	} else {
		next.Set = merge(&c.Set, change)
	}

	return next
}

// Replay applies the changes beyond c's revision. It returns c itself if
// there are none, or ErrGap, a Diverged or ErrUnreadable.
func (c *Config) Replay(changes []Change) (*Config, error) {
	changes = changes[lastWhole(changes, c.Revision):]
	now := c

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
		case change.Revision != now.Revision+1 && change.Whole == nil:
			return nil, ErrGap
		}

		next, err := now.follow(change)
		if err != nil {
			return nil, err
		}

		now = next
	}

	if now == c {
		return c, nil
	}

	if err := now.Set.Validate(); err != nil {
		return nil, errors.WithType(errors.Annotatef(err, "config: revision %d", now.Revision), ErrUnreadable)
	}

	return now, nil
}

// lastWhole returns where the last change beyond a revision that replaces
// everything is, or zero.
func lastWhole(changes []Change, beyond carobward.Revision) int {
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].Whole != nil && changes[i].Revision > beyond {
			return i
		}
	}

	return 0
}

// follow checks that a change continues our history and applies it.
func (c *Config) follow(change *Change) (*Config, error) {
	chain, err := change.next(c.Chain)
	if err != nil {
		return nil, err
	}

	if chain != change.Chain {
		return nil, &Diverged{Revision: change.Revision, Ours: chain, Theirs: change.Chain}
	}

	return c.step(change), nil
}

func merge(set *cwtarget.Set, change *Change) cwtarget.Set {
	gone := change.Touched()
	next := cwtarget.Set{Measure: set.Measure}

	if change.Measure != nil {
		next.Measure = change.Measure
	}

	for i := range set.Targets {
		if !gone[set.Targets[i].Name] {
			next.Targets = append(next.Targets, set.Targets[i])
		}
	}

	next.Targets = append(next.Targets, change.Put...)
	sort.Slice(next.Targets, func(i, j int) bool { return next.Targets[i].Name < next.Targets[j].Name })

	return next
}

// Diff returns the change that leads from c to the wanted set. Targets that
// are missing from it are dropped only if prune is set.
func (c *Config) Diff(want cwtarget.Set, prune bool) Change {
	change := Change{Base: c.Revision}
	have := map[carobward.TargetName]*carobward.Target{}

	for i := range c.Set.Targets {
		have[c.Set.Targets[i].Name] = &c.Set.Targets[i]
	}

	for i := range want.Targets {
		w := &want.Targets[i]
		if h := have[w.Name]; h == nil || !same(h, w) {
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

func same(a, b *carobward.Target) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)

	return bytes.Equal(x, y)
}
