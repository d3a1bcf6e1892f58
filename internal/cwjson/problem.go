package cwjson

import (
	"strconv"
	"strings"
	"unicode"

	"github.com/juju/errors"
)

// Problem is one thing that is wrong in a file.
type Problem struct {
	// Place is the file, line and column; empty where none is known.
	Place string
	// Key is the path of the key, such as "listen.callers".
	Key string
	// Text says what would be right and what is there.
	Text string
}

// Error returns the place, the key and the text.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Place != "" {
		b.WriteString(p.Place + ": ")
	}

	if p.Key != "" {
		b.WriteString(strconv.Quote(p.Key) + ": ")
	}

	b.WriteString(strings.Map(printed, p.Text))

	return b.String()
}

// printed keeps a problem on one line, whatever the file holds.
func printed(r rune) rune {
	if unicode.IsControl(r) {
		return unicode.ReplacementChar
	}

	return r
}

// Problems are all that is wrong in a file.
type Problems []Problem

// Error returns one line a problem.
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

// And adds the problems of a later check to those of a first one, but for the
// places that the first one has found fault with already. Either error may be
// nil or another error, which goes first.
func And(first, later error) error {
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

// Places knows where in a file each key stands.
type Places struct {
	name    string
	raw     []byte
	offsets map[string]int
}

// At returns the file, line and column of a key, or of the nearest key that
// encloses it, since a key that was left out has no place of its own.
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

// Has tells whether the file holds a key.
func (p *Places) Has(key string) bool {
	_, ok := p.offsets[key]

	return ok
}

// place counts lines and columns from 1, columns in bytes.
func (p *Places) place(offset int) string {
	before := string(p.raw[:min(offset, len(p.raw))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n')

	return p.name + ":" + strconv.Itoa(line) + ":" + strconv.Itoa(column)
}
