package cwtarget_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/cwtest"
)

const feeTarget = `{"name": "fee", "service": "billing", "promise": "once", "match": [{"method": "post", "path": "/fees"}]}`

// fileWith returns a file that declares the fee target, with the first
// occurrence of old replaced.
func fileWith(old, replacement string) string {
	return "{\"targets\": [\n" + strings.Replace(feeTarget, old, replacement, 1) + "\n]}"
}

func TestParse(t *testing.T) {
	tests := map[string]struct{ text, err string }{
		"valid":                        {text: fileWith("", "")},
		"unknown key":                  {text: fileWith(`"name"`, `"weight": 3, "name"`), err: `f:2:2: "targets[0].weight": unknown key, want one of body, host, match, name, promise, service, within`},
		"invalid name":                 {text: fileWith(`"fee"`, `"Fee"`), err: `f:2:10: "Fee.name": want small letters, digits and dashes, at most 63, such as "sheet-lookup", got "Fee"`},
		"no promise":                   {text: fileWith(`"promise": "once", `, ``), err: `f:2:1: "fee.promise": want "quick" (may repeat) or "once" (must not repeat), got ""`},
		"invalid method":               {text: fileWith(`post`, `POST /`), err: `f:2:79: "fee.match[0].method": want an HTTP method in capitals, such as "GET", got "POST /"`},
		"host with a port":             {text: fileWith(`"name"`, `"host": "a.example:80", "name"`), err: `f:2:10: "fee.host": want a host name in small letters without a port, such as "fees.example", got "a.example:80"`},
		"parent segment in the path":   {text: fileWith(`/fees`, `/a/../fees`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "/a/../fees": ` + cwtarget.ErrSegment.Error()},
		"empty segment in the path":    {text: fileWith(`/fees`, `/fees//`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "/fees//": ` + cwtarget.ErrSegment.Error()},
		"path without a leading slash": {text: fileWith(`/fees`, `fees`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "fees": ` + cwtarget.ErrNotPath.Error()},
		"zero time":                    {text: fileWith(`"name"`, `"within": "0s", "name"`), err: `f:2:12: "fee.within": want a time from 1ms to 5m0s, got 0s`},
		"body over the limit":          {text: fileWith(`"name"`, `"body": "65MB", "name"`), err: `f:2:10: "fee.body": want from 1 to 67108864 bytes, got 68157440`},
		"no match":                     {text: fileWith(`{"method": "post", "path": "/fees"}`, ``), err: `f:2:67: "fee.match": want from 1 to 64 of {"method": ..., "path": ...}, got 0`},
		"duplicate match":              {text: fileWith(`]`, `, {"method": "POST", "path": "/%66ees/"}]`), err: `f:2:105: "fee.match[1]": want requests of its own, POST /%66ees/ belongs to target "fee" already`},
		"paths that differ in case":    {text: fileWith(`]`, `, {"path": "/Fees/x"}]`), err: `f:2:114: "fee.match[1].path": want a path such as "/sheets/", got "/Fees/x": another target spells it "/fees"`},
		"invalid budget":               {text: `{"measure": {"calls": -1}}`, err: `f:1:23: "measure.calls": want operations a second from 0 to 1000000, got -1`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := cwtarget.Parse("f", []byte(tt.text))
			if diff := cmp.Diff(tt.err, cwtest.ErrorText(err)); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLoadFolder(t *testing.T) {
	tests := map[string]struct {
		files map[string]string
		want  []carobward.TargetName
		err   []string
	}{
		"duplicate match in two files": {
			files: map[string]string{
				"b.jsonc": fileWith("", ""),
				"a.jsonc": fileWith("fee", "refund") + " // " + "/fees",
				"x.txt":   "ignored",
			},
			err: []string{`b.jsonc:2:68: "fee.match[0]": want requests of its own, POST /fees belongs to target "refund" already`},
		},
		"sorted by name": {
			files: map[string]string{"a.jsonc": fileWith("", ""), "b.jsonc": strings.ReplaceAll(fileWith("fee", "a-fee"), "/fees", "/a")},
			want:  []carobward.TargetName{"a-fee", "fee"},
		},
		"duplicate name": {
			files: map[string]string{"a.jsonc": fileWith("", ""), "b.jsonc": fileWith("/fees", "/b")},
			err:   []string{`b.jsonc:2:10: "fee.name": want a name of its own, another target has "fee" already`},
		},
		"two budgets": {
			files: map[string]string{"a.jsonc": `{"measure": {"calls": 1}}`, "b.jsonc": `{"measure": {"calls": 2}}`},
			err:   []string{`b.jsonc:1:13: "measure": want it in one file, another one has it already`},
		},
		"problems in several files": {
			files: map[string]string{"a.jsonc": `{"target": []}`, "b.jsonc": `{"measur": {}}`},
			err:   []string{`a.jsonc:1:2: "target": unknown key, did you mean "targets"?`, `b.jsonc:1:2: "measur": unknown key, did you mean "measure"?`},
		},
		"no file": {files: map[string]string{"x.txt": ""}, err: []string{"ends in .jsonc"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			for f, raw := range tt.files {
				if err := os.WriteFile(filepath.Join(folder, f), []byte(raw), 0o600); err != nil {
					t.Fatal(err)
				}
			}

			s, err := cwtarget.Load(folder)
			for _, want := range tt.err {
				if !strings.Contains(cwtest.ErrorText(err), want) {
					t.Errorf("got error %v, want %q in it", err, want)
				}
			}

			var names []carobward.TargetName
			for i := range s.Targets {
				names = append(names, s.Targets[i].Name)
			}

			if diff := cmp.Diff(tt.want, names); len(tt.err) == 0 && diff != "" {
				t.Errorf("targets (-want +got):\n%s", diff)
			}
		})
	}
}

func TestKeysDocumented(t *testing.T) {
	cwtest.CheckDocKeys(t, "../../docs/targets.md", cwjson.Keys(reflect.TypeFor[cwtarget.Set]()))
}

func TestExamples(t *testing.T) {
	for _, f := range []string{"atlas", "pase"} {
		if _, err := cwtarget.Load("../../examples/" + f + "/targets.jsonc"); err != nil {
			t.Error(err)
		}
	}
}

// TestSizeLimits checks that validation rejects a set that the store
// would reject for its size, and accepts 220 services with three targets
// each.
func TestSizeLimits(t *testing.T) {
	s := cwtarget.Set{Targets: manyTargets(1800)}
	if got := cwtest.ErrorText(s.Validate()); !strings.Contains(got, "want at most 4096 targets, got 5400") || !strings.Contains(got, "want at most 900000 bytes") {
		t.Errorf("got %q, want an error that names both limits", got)
	}

	s.Targets = manyTargets(220)
	if err := s.Validate(); err != nil {
		t.Errorf("220 services with three targets each were rejected: %v", err)
	}
}

// FuzzParse verifies that every accepted file passes Validate, and that Find
// returns the right target for the method and path of each match that names a
// method.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fileWith("", "")))
	f.Add([]byte(fileWith("/fees", "/caf%C3%A9/")))
	f.Add([]byte(`{"measure": {"calls": 10, "bytes": "1MB"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := cwtarget.Parse("f", raw)
		if err != nil {
			return
		}

		if err := s.Validate(); err != nil {
			t.Fatalf("accepted by Parse, but rejected by Validate: %v", err)
		}

		table := cwtarget.NewTable(s.Targets)

		for i := range s.Targets {
			target := &s.Targets[i]
			for _, m := range target.Match {
				method := m.Method
				if method == "" {
					method = "GET"
				}

				got, err := table.Find(target.Host, method, m.Path)
				if m.Method != "" && (err != nil || got != target) {
					t.Errorf("%s %s of %q: got %v, %v", m.Method, m.Path, target.Name, nameOf(got), err)
				}
			}
		}
	})
}
