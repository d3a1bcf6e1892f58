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

// MaxSize is the maximum size of all targets together, in bytes of JSON. The
// store of the platform holds values of up to one megabyte; the difference
// leaves room for the data around the targets.
const MaxSize = 900_000

// The limits of the values of a target and of the measuring budget.
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
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// Validate validates the whole set. The error names each invalid key with its
// target, its value and what is expected.
func (s *Set) Validate() error {
	c := newChecker()

	for i := range s.Targets {
		c.checkTarget(&s.Targets[i], noPlace)
	}

	if s.Measure != nil {
		c.checkBudget(s.Measure, noPlace, false)
	}

	c.checkSet(s)

	return c.problems.Err()
}

func noPlace(string) string { return "targets" }

// checker validates targets and collects their problems.
type checker struct {
	problems cwjson.Problems
	names    map[carobward.TargetName]bool
	matches  map[matchKey]carobward.TargetName
	// spellings has the spelling of each path and of each leading part of a
	// path, by its case-folded form.
	spellings map[string]string
}

// matchKey identifies a match: two matches with the same key would be the
// same entry in a Table.
type matchKey struct{ host, method, path string }

func newChecker() *checker {
	return &checker{
		names:     map[carobward.TargetName]bool{},
		matches:   map[matchKey]carobward.TargetName{},
		spellings: map[string]string{},
	}
}

// checkSet checks the limits that apply to all targets together.
func (c *checker) checkSet(s *Set) {
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

	if len(raw) > MaxSize {
		fail("want at most %d bytes of JSON for all together, got %d", MaxSize, len(raw))
	}
}

func (c *checker) checkBudget(m *Measure, at func(string) string, duplicate bool) {
	fail := func(key, format string, args ...any) {
		c.problems = append(c.problems, cwjson.Problem{Place: at(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}

	if duplicate {
		fail("measure", "want it in one file, another one has it already")
	}

	if m.Calls < 0 || m.Calls > maxCalls {
		fail("measure.calls", "want operations a second from 0 to %d, got %d", maxCalls, m.Calls)
	}

	if m.Bytes < 0 || m.Bytes > maxMeasured {
		fail("measure.bytes", "want bytes a second from 0 to %d, got %d", maxMeasured, m.Bytes)
	}
}

// reportFunc reports a problem with one key of a target.
type reportFunc func(key, format string, args ...any)

func (c *checker) checkTarget(t *carobward.Target, at func(key string) string) {
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
		c.checkMatch(t, i, fail)
	}
}

func validateNames(t *carobward.Target, fail reportFunc) {
	if !namePattern.MatchString(string(t.Name)) {
		fail("name", `want small letters, digits and dashes, at most 63, such as "sheet-lookup", got %q`, t.Name)
	}

	if !namePattern.MatchString(string(t.Service)) {
		fail("service", `want the servers' service as the VM list has it, such as "records", got %q`, t.Service)
	}

	if t.Promise != carobward.Quick && t.Promise != carobward.Once {
		fail("promise", `want "quick" (may repeat) or "once" (must not repeat), got %q`, t.Promise)
	}

	if _, err := netip.ParseAddr(strings.Trim(t.Host, "[]")); t.Host != "" && err != nil && !hostPattern.MatchString(t.Host) {
		fail("host", `want a host name in small letters without a port, such as "fees.example", got %q`, t.Host)
	}
}

func validateBounds(t *carobward.Target, fail reportFunc) {
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

// checkMatch validates one match of a target and checks that no other match
// is the same.
func (c *checker) checkMatch(t *carobward.Target, i int, fail reportFunc) {
	m := t.Match[i]
	key := "match[" + strconv.Itoa(i) + "]"

	if m.Method != "" && !isMethod(m.Method) {
		fail(key+".method", `want an HTTP method in capitals, such as "GET", got %q`, m.Method)
	}

	path, err := c.canonicalPath(m.Path)
	if err != nil {
		fail(key+".path", `want a path such as "/sheets/", got %q: %s`, m.Path, err)

		return
	}

	k := matchKey{hostOf(t.Host), m.Method, path}
	if other, ok := c.matches[k]; ok {
		fail(key, "want requests of its own, %s %s belongs to target %q already", m.Method, m.Path, other)
	}

	c.matches[k] = t.Name
}

// canonicalPath validates a path and returns it decoded and without a
// trailing slash. Paths that are the same to a Table have the same canonical
// form.
func (c *checker) canonicalPath(path string) (string, error) {
	switch {
	case !strings.HasPrefix(path, "/"):
		return "", ErrNotPath
	case len(path) > maxPath:
		return "", fmt.Errorf("it is longer than %d bytes", maxPath)
	case strings.Count(path, "/") > maxSegments:
		return "", ErrTooManySegments
	}

	var canonical string

	for rest := strings.TrimSuffix(path, "/"); rest != ""; {
		segment, remaining, err := nextSegment(rest)
		if err == nil && segment == "" {
			err = ErrSegment
		}

		if err != nil {
			return "", err
		}

		canonical += "/" + segment
		rest = remaining

		if spelling, ok := c.spellings[toLower(canonical)]; ok && spelling != canonical {
			return "", fmt.Errorf("another target spells it %q", spelling)
		}

		c.spellings[toLower(canonical)] = canonical
	}

	return canonical, nil
}
