// Package cwconfig holds the operators' configuration: one revision for the
// whole, changes as deltas, and the copy in force on this entry VM, which
// never goes back.
package cwconfig

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// Change is a step from one revision to the next.
type Change struct {
	// ID was drawn by the writer.
	ID carobward.ChangeID `json:"id"`
	// Author is who made the change, for people to read.
	Author string `json:"author,omitempty"`
	// Base is the revision that the writer saw.
	Base carobward.Revision `json:"base"`
	// Revision is the one that the change made; zero before it is accepted.
	Revision carobward.Revision `json:"revision,omitempty"`
	// Put holds targets that are new or replaced.
	Put []carobward.Target `json:"put,omitempty"`
	// Drop names targets that are removed.
	Drop []carobward.TargetName `json:"drop,omitempty"`
	// Measure replaces the measuring budget, if set.
	Measure *cwtarget.Measure `json:"measure,omitempty"`
}

// Empty tells that the change changes nothing.
func (c *Change) Empty() bool {
	return len(c.Put) == 0 && len(c.Drop) == 0 && c.Measure == nil
}

// Config is one revision of the whole configuration.
type Config struct {
	// Revision numbers it; zero means that there is none yet.
	Revision carobward.Revision `json:"revision"`
	// Set holds the targets and the measuring budget.
	Set cwtarget.Set `json:"set"`
	// Recent holds the last changes, oldest first.
	Recent []Change `json:"recent"`
}

// recentMost is how many changes a configuration remembers.
const recentMost = 32

// Conflict says that a change touches what another one changed since its
// base.
type Conflict struct {
	// Other is the change that came first.
	Other Change
	// Target is the target both touch; empty for the measuring budget.
	Target carobward.TargetName
}

// Error names the other change.
func (c *Conflict) Error() string {
	what := "the measuring budget"
	if c.Target != "" {
		what = `target "` + string(c.Target) + `"`
	}

	by := ""
	if c.Other.Author != "" {
		by = " by " + c.Other.Author
	}

	return errors.Errorf("config: %s was changed in revision %d%s (change %s) after your base", what, c.Other.Revision, by, c.Other.ID).Error()
}

// ErrBase tells that the change's base is too old to tell what came since.
const ErrBase = errors.ConstError("config: the base is too old, read the configuration again")

// Find returns the recent change with an id.
func (c *Config) Find(id carobward.ChangeID) (Change, bool) {
	for _, r := range c.Recent {
		if r.ID == id {
			return r, true
		}
	}

	return Change{}, false
}

// With returns the configuration after a change, or a Conflict.
func (c *Config) With(change Change) (*Config, error) {
	if err := c.check(&change); err != nil {
		return nil, err
	}

	change.Revision = c.Revision + 1

	next := &Config{Revision: change.Revision, Set: cwtarget.Set{Measure: c.Set.Measure}}
	if change.Measure != nil {
		next.Set.Measure = change.Measure
	}

	next.Set.Targets = merge(c.Set.Targets, &change)
	if err := next.Set.Validate(); err != nil {
		return nil, err
	}

	next.Recent = append(next.Recent, c.Recent...)
	next.Recent = append(next.Recent, change)

	if extra := len(next.Recent) - recentMost; extra > 0 {
		next.Recent = next.Recent[extra:]
	}

	return next, nil
}

// check looks for a change since the base that touches the same.
func (c *Config) check(change *Change) error {
	if change.Base > c.Revision {
		return errors.Errorf("config: base %d is not accepted yet, the last revision is %d", change.Base, c.Revision)
	}

	if change.Base < c.Revision && (len(c.Recent) == 0 || c.Recent[0].Revision > change.Base+1) {
		return ErrBase
	}

	mine := touched(change)

	for _, r := range c.Recent {
		if r.Revision <= change.Base {
			continue
		}

		if r.Measure != nil && change.Measure != nil {
			return &Conflict{Other: r}
		}

		for name := range touched(&r) {
			if mine[name] {
				return &Conflict{Other: r, Target: name}
			}
		}
	}

	return nil
}

func touched(c *Change) map[carobward.TargetName]bool {
	names := map[carobward.TargetName]bool{}
	for i := range c.Put {
		names[c.Put[i].Name] = true
	}

	for _, n := range c.Drop {
		names[n] = true
	}

	return names
}

func merge(targets []carobward.Target, change *Change) []carobward.Target {
	gone := touched(change)

	var all []carobward.Target

	for i := range targets {
		if !gone[targets[i].Name] {
			all = append(all, targets[i])
		}
	}

	all = append(all, change.Put...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })

	return all
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

// Encode writes the configuration as the store holds it.
func (c *Config) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads what Encode wrote. No bytes are the empty configuration.
func Decode(raw []byte) (*Config, error) {
	c := &Config{}
	if len(raw) == 0 {
		return c, nil
	}

	if err := json.Unmarshal(raw, c); err != nil {
		return nil, errors.Annotate(err, "config")
	}

	if err := c.Set.Validate(); err != nil {
		return nil, errors.Annotate(err, "config")
	}

	return c, nil
}
