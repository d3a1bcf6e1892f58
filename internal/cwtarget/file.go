// Package cwtarget reads, validates and matches targets.
package cwtarget

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"carobward.example/carobward"
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

// Parse reads one file of targets: JSON with comments. Unknown keys are
// refused. The set is defaulted but not yet validated, since one file may
// hold a part only.
func Parse(name string, raw []byte) (Set, error) {
	var s Set

	plain, err := hujson.Standardize(raw)
	if err != nil {
		return s, errors.Annotate(err, name)
	}

	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()

	if err := d.Decode(&s); err != nil {
		return s, errors.Annotate(err, name)
	}

	s.fill()

	return s, nil
}

// Load reads a file, or each file of a folder that ends in .jsonc, and
// validates the whole.
func Load(path string) (Set, error) {
	names, err := files(path)
	if err != nil {
		return Set{}, err
	}

	var all Set

	for _, n := range names {
		raw, err := os.ReadFile(n)
		if err != nil {
			return all, errors.Annotate(err, "targets")
		}

		s, err := Parse(n, raw)
		if err != nil {
			return all, err
		}

		if s.Measure != nil && all.Measure != nil {
			return all, errors.Errorf(`%s: "measure" is set in another file already`, n)
		}

		if s.Measure != nil {
			all.Measure = s.Measure
		}

		all.Targets = append(all.Targets, s.Targets...)
	}

	all.fill()

	return all, all.Validate()
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

// fill sets defaults and sorts by name.
func (s *Set) fill() {
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Within == 0 {
			t.Within = carobward.Duration(defaultWithin)
		}

		if t.Body == 0 {
			t.Body = defaultBody
		}

		for j := range t.Match {
			t.Match[j].Method = strings.ToUpper(t.Match[j].Method)
		}
	}

	sort.SliceStable(s.Targets, func(i, j int) bool {
		return s.Targets[i].Name < s.Targets[j].Name
	})
}
