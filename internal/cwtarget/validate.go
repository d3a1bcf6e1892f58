package cwtarget

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
)

// SizeMost bounds all targets together, in bytes of JSON. The platform's store
// holds values of a megabyte; the rest is for the frame around it.
const SizeMost = 900_000

// The bounds of a target's values.
const (
	minWithin   = time.Millisecond
	maxWithin   = 5 * time.Minute
	maxBody     = 64 * carobward.Megabyte
	maxPath     = 512
	maxMatches  = 64
	maxTargets  = 4096
	maxCalls    = 1_000_000
	maxMeasured = 1024 * carobward.Megabyte
)

var (
	nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hostForm = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// Validate checks the whole set. The error names each target and key that is
// wrong, its value and what would be right.
func (s *Set) Validate() error {
	c := newChecker()

	for i := range s.Targets {
		c.target(&s.Targets[i], nowhere)
	}

	if s.Measure != nil {
		c.measure(s.Measure, nowhere, false)
	}

	c.whole(s)

	return c.problems.Err()
}

func nowhere(string) string { return "targets" }

// checker collects the problems of many targets.
type checker struct {
	problems cwjson.Problems
	names    map[carobward.TargetName]bool
	rules    map[rule]carobward.TargetName
	// spelled has each path and each start of one in folded form, and how
	// it is spelled.
	spelled map[string]string
}

// rule is a match in the form in which two are the same to the table.
type rule struct{ host, method, path string }

func newChecker() *checker {
	return &checker{
		names:   map[carobward.TargetName]bool{},
		rules:   map[rule]carobward.TargetName{},
		spelled: map[string]string{},
	}
}

// whole checks what only all targets together show.
func (c *checker) whole(s *Set) {
	fail := func(format string, args ...any) {
		c.problems = append(c.problems, cwjson.Problem{Place: "targets", Text: fmt.Sprintf(format, args...)})
	}

	if len(s.Targets) > maxTargets {
		fail("want at most %d targets, got %d", maxTargets, len(s.Targets))
	}

	raw, err := json.Marshal(s)
	if err != nil {
		fail("can't be written as JSON: %s", err)
	}

	if len(raw) > SizeMost {
		fail("want at most %d bytes of JSON for all together, got %d", SizeMost, len(raw))
	}
}

func (c *checker) measure(m *Measure, at func(string) string, second bool) {
	fail := func(key, format string, args ...any) {
		c.problems = append(c.problems, cwjson.Problem{Place: at(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}

	if second {
		fail("measure", "want it in one file, another one has it already")
	}

	if m.Calls < 0 || m.Calls > maxCalls {
		fail("measure.calls", "want operations a second from 0 to %d, got %d", maxCalls, m.Calls)
	}

	if m.Bytes < 0 || m.Bytes > maxMeasured {
		fail("measure.bytes", "want bytes a second from 0 to %d, got %d", maxMeasured, m.Bytes)
	}
}

// failer takes one problem of a target.
type failer func(key, format string, args ...any)

func (c *checker) target(t *carobward.Target, at func(key string) string) {
	fail := func(key, format string, args ...any) {
		c.problems = append(c.problems, cwjson.Problem{
			Place: at(key), Key: string(t.Name) + "." + key, Text: fmt.Sprintf(format, args...),
		})
	}

	if c.names[t.Name] {
		fail("name", "want a name of its own, another target has %q already", t.Name)
	}

	c.names[t.Name] = true

	validateNames(t, fail)
	validateBounds(t, fail)

	for i := range t.Match {
		c.match(t, i, fail)
	}
}

func validateNames(t *carobward.Target, fail failer) {
	if !nameForm.MatchString(string(t.Name)) {
		fail("name", `want small letters, digits and dashes, at most 63, such as "sheet-lookup", got %q`, t.Name)
	}

	if !nameForm.MatchString(string(t.Service)) {
		fail("service", `want the servers' service as the VM list has it, such as "records", got %q`, t.Service)
	}

	if t.Promise != carobward.Quick && t.Promise != carobward.Once {
		fail("promise", `want "quick" (may repeat) or "once" (must not repeat), got %q`, t.Promise)
	}

	if _, err := netip.ParseAddr(strings.Trim(t.Host, "[]")); t.Host != "" && err != nil && !hostForm.MatchString(t.Host) {
		fail("host", `want a host name in small letters without a port, such as "fees.example", got %q`, t.Host)
	}
}

func validateBounds(t *carobward.Target, fail failer) {
	if w := t.Within.Std(); w < minWithin || w > maxWithin {
		fail("within", "want a time from %s to %s, got %s", minWithin, maxWithin, w)
	}

	if t.Body < 1 || t.Body > maxBody {
		fail("body", "want from 1 to %d bytes, got %d", maxBody, t.Body)
	}

	if len(t.Match) == 0 || len(t.Match) > maxMatches {
		fail("match", `want from 1 to %d of {"method": ..., "path": ...}, got %d`, maxMatches, len(t.Match))
	}
}

// match checks one match and that no other target has it.
func (c *checker) match(t *carobward.Target, i int, fail failer) {
	m := t.Match[i]
	key := "match[" + strconv.Itoa(i) + "]"

	if m.Method != "" && !isMethod(m.Method) {
		fail(key+".method", `want an HTTP method in capitals, such as "GET", got %q`, m.Method)
	}

	path, err := c.path(m.Path)
	if err != nil {
		fail(key+".path", `want a path such as "/sheets/", got %q: %s`, m.Path, err)

		return
	}

	r := rule{hostOf(t.Host), m.Method, path}
	if other, ok := c.rules[r]; ok {
		fail(key, "want requests of its own, %s %s belongs to target %q already", m.Method, m.Path, other)
	}

	c.rules[r] = t.Name
}

// path returns the path in the form in which two are the same to the table.
func (c *checker) path(path string) (string, error) {
	switch {
	case !strings.HasPrefix(path, "/"):
		return "", ErrForm
	case len(path) > maxPath:
		return "", fmt.Errorf("it is longer than %d bytes", maxPath)
	case strings.Count(path, "/") > segmentsMost:
		return "", ErrDeep
	}

	var done string

	for rest := strings.TrimSuffix(path, "/"); rest != ""; {
		segment, left, err := nextSegment(rest)
		if err == nil && segment == "" {
			err = ErrSegment
		}

		if err != nil {
			return "", err
		}

		done += "/" + segment
		rest = left

		if before, ok := c.spelled[lower(done)]; ok && before != done {
			return "", fmt.Errorf("another target spells it %q", before)
		}

		c.spelled[lower(done)] = done
	}

	return done, nil
}
