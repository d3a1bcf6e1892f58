package cwjson

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/juju/errors"
)

// Problem is one error in a file.
type Problem struct {
	// Place is the file, line and column, or empty if unknown.
	Place string
	// Key is the path of the key, such as "listen.callers".
	Key string
	// Text states what is expected and what was found.
	Text string
}

// Error returns the place, the key and the text in one line.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Place != "" {
		b.WriteString(p.Place + ": ")
	}

	if p.Key != "" {
		b.WriteString(strconv.Quote(p.Key) + ": ")
	}

	b.WriteString(strings.Map(printable, p.Text))

	return b.String()
}

// printable replaces control characters, so that a problem stays on one line.
func printable(r rune) rune {
	if unicode.IsControl(r) {
		return unicode.ReplacementChar
	}

	return r
}

// Problems are all errors in a file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}

	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}

	return p
}

// MergeProblems merges the problems of a later check into those of a first one, except for
// problems at places for which the first check already reported one. If first is nil,
// it returns later. If either is not of type Problems, it returns first.
func MergeProblems(first, later error) error {
	var all, more Problems

	switch {
	case first == nil:
		return later
	case later == nil || !errors.As(first, &all) || !errors.As(later, &more):
		return first
	}

	known := map[string]bool{}
	for i := range all {
		known[all[i].Place] = true
	}

	for i := range more {
		if !known[more[i].Place] {
			all = append(all, more[i])
		}
	}

	return all
}

// Places records the place of each key in a file.
type Places struct {
	name    string
	raw     []byte
	offsets map[string]int
}

// At returns the file, line and column of a key. For a key that is not in the file it
// returns those of the nearest enclosing key.
func (p *Places) At(key string) string {
	if p == nil {
		return ""
	}

	for {
		if at, ok := p.offsets[key]; ok {
			return p.place(at)
		}

		if key == "" {
			return p.name
		}

		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
}

// Has reports whether the file contains a key.
func (p *Places) Has(key string) bool {
	_, ok := p.offsets[key]

	return ok
}

// place returns the file, line and column of an offset. Lines and columns start at 1,
// and columns count bytes.
func (p *Places) place(offset int) string {
	before := string(p.raw[:min(offset, len(p.raw))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n')

	return p.name + ":" + strconv.Itoa(line) + ":" + strconv.Itoa(column)
}
