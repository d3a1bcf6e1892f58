package cwtarget

import (
	"sort"
	"strings"

	"carobward.example/carobward"
)

// Table finds the target of a request. It does not change once made.
type Table struct {
	byName map[carobward.TargetName]*carobward.Target
	byHost map[string][]line
}

type line struct {
	match  carobward.Match
	target *carobward.Target
}

// NewTable returns the table of the given targets.
func NewTable(targets []carobward.Target) *Table {
	t := &Table{
		byName: make(map[carobward.TargetName]*carobward.Target, len(targets)),
		byHost: map[string][]line{},
	}

	for i := range targets {
		target := &targets[i]
		t.byName[target.Name] = target

		for _, m := range target.Match {
			t.byHost[target.Host] = append(t.byHost[target.Host], line{m, target})
		}
	}

	for _, lines := range t.byHost {
		// The longest path wins, then the one that names a method.
		sort.SliceStable(lines, func(i, j int) bool {
			a, b := lines[i].match, lines[j].match
			if len(a.Path) != len(b.Path) {
				return len(a.Path) > len(b.Path)
			}

			return a.Method > b.Method
		})
	}

	return t
}

// ByName returns the target of that name, or nil.
func (t *Table) ByName(name carobward.TargetName) *carobward.Target { return t.byName[name] }

// Find returns the target that a request belongs to, or nil. A target of the
// request's host goes before one of any host.
func (t *Table) Find(host, method, path string) *carobward.Target {
	if found := find(t.byHost[host], method, path); found != nil || host == "" {
		return found
	}

	return find(t.byHost[""], method, path)
}

func find(lines []line, method, path string) *carobward.Target {
	for i := range lines {
		l := &lines[i]
		if l.match.Method != "" && l.match.Method != method {
			continue
		}

		if strings.HasPrefix(path, l.match.Path) {
			return l.target
		}
	}

	return nil
}
