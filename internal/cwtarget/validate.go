package cwtarget

import (
	stderrors "errors"
	"regexp"
	"strings"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The bounds of a target's values.
const (
	minWithin = time.Millisecond
	maxWithin = 5 * time.Minute
	maxBody   = 64 * carobward.Megabyte
)

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Validate checks the whole set. The error names each target and key that is
// wrong and what would be right.
func (s *Set) Validate() error {
	var all []error

	fail := func(format string, args ...any) {
		all = append(all, errors.Errorf(format, args...))
	}

	names := map[carobward.TargetName]bool{}
	rules := map[rule]carobward.TargetName{}

	for i := range s.Targets {
		t := &s.Targets[i]
		if names[t.Name] {
			fail(`target %q: "name": another target has it already`, t.Name)
		}

		names[t.Name] = true

		validate(t, fail)

		for _, m := range t.Match {
			r := rule{t.Host, m}
			if other, ok := rules[r]; ok && other != t.Name {
				fail(`target %q: "match": %s %s belongs to target %q already`, t.Name, m.Method, m.Path, other)
			}

			rules[r] = t.Name
		}
	}

	if m := s.Measure; m != nil && (m.Calls < 0 || m.Bytes < 0) {
		fail(`measure: want "calls" and "bytes" a second of at least 0`)
	}

	return stderrors.Join(all...)
}

type rule struct {
	host  string
	match carobward.Match
}

func validate(t *carobward.Target, fail func(string, ...any)) {
	if !nameForm.MatchString(string(t.Name)) {
		fail(`target %q: "name": want small letters, digits and dashes, such as "sheet-lookup"`, t.Name)
	}

	if !nameForm.MatchString(string(t.Service)) {
		fail(`target %q: "service": want the servers' service as the VM list has it, such as "records", got %q`, t.Name, t.Service)
	}

	if t.Promise != carobward.Quick && t.Promise != carobward.Once {
		fail(`target %q: "promise": want "quick" (may repeat) or "once" (must not repeat), got %q`, t.Name, t.Promise)
	}

	if w := t.Within.Std(); w < minWithin || w > maxWithin {
		fail(`target %q: "within": want a time from %s to %s, got %s`, t.Name, minWithin, maxWithin, w)
	}

	if t.Body < 1 || t.Body > maxBody {
		fail(`target %q: "body": want from 1 to "64MB"`, t.Name)
	}

	if len(t.Match) == 0 {
		fail(`target %q: "match": want at least one {"method": ..., "path": ...}`, t.Name)
	}

	for _, m := range t.Match {
		if !strings.HasPrefix(m.Path, "/") {
			fail(`target %q: "match": "path" must start with /, got %q`, t.Name, m.Path)
		}
	}
}
