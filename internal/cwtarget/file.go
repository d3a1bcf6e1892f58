// Package cwtarget reads and validates the targets that operators declare,
// and finds the target of a request.
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

// Measure is the budget for measuring the load of servers. It covers probes,
// health checks and load reports, for all entry VMs together.
type Measure struct {
	// Calls is the maximum number of measuring operations per second.
	Calls int `json:"calls"`
	// Bytes is the maximum number of bytes per second that measuring may use.
	Bytes carobward.ByteCount `json:"bytes"`
}

// Set is what operators declare: all targets and the measuring budget.
type Set struct {
	// Targets is sorted by name.
	Targets []carobward.Target `json:"targets"`
	// Measure is nil if the current budget stays as it is.
	Measure *Measure `json:"measure,omitempty"`
}

// The default values of a target, and the suffix of the files in a folder.
const (
	defaultWithin = time.Second
	defaultBody   = 64 * carobward.Kilobyte
	fileSuffix    = ".jsonc"
)

// file holds what one file declares, in the order of the file, and the place
// of each key in it.
type file struct {
	set    Set
	places *cwjson.Places
}

// Parse reads one file of targets in JSON with comments and validates it. The
// error lists every problem with its place in the file, which it calls name.
func Parse(name string, raw []byte) (Set, error) {
	f, err := parse(name, raw)
	s, invalid := merge([]file{f})

	return s, cwjson.MergeProblems(err, invalid)
}

func parse(name string, raw []byte) (file, error) {
	var f file

	places, err := cwjson.Decode(name, raw, &f.set)
	f.places = places
	f.setDefaults()

	return f, err
}

// Load reads a file, or every file in a folder whose name ends in .jsonc, and
// validates all targets together.
func Load(path string) (Set, error) {
	names, err := listFiles(path)
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

		var found cwjson.Problems
		if errors.As(err, &found) {
			problems = append(problems, found...)
		}

		all = append(all, f)
	}

	s, invalid := merge(all)

	return s, cwjson.MergeProblems(problems.Err(), invalid)
}

// merge validates the files together and returns all that they declare.
func merge(all []file) (Set, error) {
	var s Set

	c := newChecker()

	for i := range all {
		f := &all[i]

		for j := range f.set.Targets {
			prefix := "targets[" + strconv.Itoa(j) + "]."
			c.checkTarget(&f.set.Targets[j], func(key string) string { return f.places.At(prefix + key) })
		}

		if m := f.set.Measure; m != nil {
			c.checkBudget(m, f.places.At, s.Measure != nil)
			s.Measure = m
		}

		s.Targets = append(s.Targets, f.set.Targets...)
	}

	s.sort()
	c.checkSet(&s)

	return s, c.problems.Err()
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Annotate(err, "targets")
	}

	if !info.IsDir() {
		return []string{path}, nil
	}

	names, err := filepath.Glob(filepath.Join(path, "*"+fileSuffix))
	if err != nil {
		return nil, errors.Annotate(err, "targets")
	}

	if len(names) == 0 {
		return nil, errors.Errorf("targets: no file in %s ends in %s", path, fileSuffix)
	}

	return names, nil
}

// setDefaults sets the defaults of the keys that the file leaves out. A zero
// in the file is not replaced; validation rejects it.
func (f *file) setDefaults() {
	for i := range f.set.Targets {
		t := &f.set.Targets[i]
		prefix := "targets[" + strconv.Itoa(i) + "]."

		if !f.places.Has(prefix + "within") {
			t.Within = carobward.Duration(defaultWithin)
		}

		if !f.places.Has(prefix + "body") {
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
