// Package cwtarget reads, validates and matches targets.
package cwtarget

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
)

// Measure is the budget for measuring the servers' load, for the whole
// system: probes, health checks and reports, all entry VMs together.
type Measure struct {
	// Calls is the number of measuring operations a second.
	Calls int `json:"calls"`
	// Bytes is the number of measuring bytes a second.
	Bytes carobward.ByteCount `json:"bytes"`
}

// Set is what operators declare: all targets and the measuring budget.
type Set struct {
	// Targets is sorted by name.
	Targets []carobward.Target `json:"targets"`
	// Measure is nil where it is left as it is.
	Measure *Measure `json:"measure,omitempty"`
}

// The default values of a target.
const (
	defaultWithin = time.Second
	defaultBody   = 64 * carobward.Kilobyte
	suffix        = ".jsonc"
)

// file is what one file declares, in its order, and where.
type file struct {
	set    Set
	places *cwjson.Places
}

// Parse reads one file of targets: JSON with comments. The name goes into
// the error, which names every problem with its place.
func Parse(name string, raw []byte) (Set, error) {
	f, err := parse(name, raw)
	s, later := join([]file{f})

	return s, cwjson.MergeProblems(err, later)
}

func parse(name string, raw []byte) (file, error) {
	var f file

	places, err := cwjson.Decode(name, raw, &f.set)
	f.places = places
	f.fill()

	return f, err
}

// Load reads a file, or each file of a folder that ends in .jsonc, and
// validates the whole.
func Load(path string) (Set, error) {
	names, err := files(path)
	if err != nil {
		return Set{}, err
	}

	var (
		all      []file
		problems cwjson.Problems
	)

	for _, n := range names {
		raw, err := os.ReadFile(n)
		if err != nil {
			return Set{}, errors.Annotate(err, "targets")
		}

		f, err := parse(n, raw)

		var more cwjson.Problems
		if errors.As(err, &more) {
			problems = append(problems, more...)
		}

		all = append(all, f)
	}

	s, later := join(all)

	return s, cwjson.MergeProblems(problems.Err(), later)
}

// join checks the files as a whole and returns what they declare together.
func join(all []file) (Set, error) {
	var s Set

	c := newChecker()

	for i := range all {
		f := &all[i]

		for j := range f.set.Targets {
			prefix := "targets[" + strconv.Itoa(j) + "]."
			c.target(&f.set.Targets[j], func(key string) string { return f.places.At(prefix + key) })
		}

		if m := f.set.Measure; m != nil {
			c.measure(m, f.places.At, s.Measure != nil)
			s.Measure = m
		}

		s.Targets = append(s.Targets, f.set.Targets...)
	}

	s.sort()
	c.whole(&s)

	return s, c.problems.Err()
}

func files(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Annotate(err, "targets")
	}

	if !info.IsDir() {
		return []string{path}, nil
	}

	names, err := filepath.Glob(filepath.Join(path, "*"+suffix))
	if err != nil {
		return nil, errors.Annotate(err, "targets")
	}

	if len(names) == 0 {
		return nil, errors.Errorf("targets: no file in %s ends in %s", path, suffix)
	}

	return names, nil
}

// fill sets the defaults of what the file leaves out. A zero that is written
// out stays, and is refused.
func (f *file) fill() {
	for i := range f.set.Targets {
		t := &f.set.Targets[i]
		key := "targets[" + strconv.Itoa(i) + "]."

		if !f.places.Has(key + "within") {
			t.Within = carobward.Duration(defaultWithin)
		}

		if !f.places.Has(key + "body") {
			t.Body = defaultBody
		}

		for j := range t.Match {
			t.Match[j].Method = strings.ToUpper(t.Match[j].Method)
		}
	}
}

func (s *Set) sort() {
	sort.SliceStable(s.Targets, func(i, j int) bool {
		return s.Targets[i].Name < s.Targets[j].Name
	})
}
