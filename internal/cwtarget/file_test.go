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

const fee = `{"name": "fee", "service": "billing", "promise": "once", "match": [{"method": "post", "path": "/fees"}]}`

// with returns a file with the fee target, some text of it replaced.
func with(old, now string) string {
	return "{\"targets\": [\n" + strings.Replace(fee, old, now, 1) + "\n]}"
}

func TestParse(t *testing.T) {
	tests := map[string]struct{ text, err string }{
		"fit":              {text: with("", "")},
		"a weight":         {text: with(`"name"`, `"weight": 3, "name"`), err: `f:2:2: "targets[0].weight": unknown key, want one of body, host, match, name, promise, service, within`},
		"a name":           {text: with(`"fee"`, `"Fee"`), err: `f:2:10: "Fee.name": want small letters, digits and dashes, at most 63, such as "sheet-lookup", got "Fee"`},
		"no promise":       {text: with(`"promise": "once", `, ``), err: `f:2:1: "fee.promise": want "quick" (may repeat) or "once" (must not repeat), got ""`},
		"a method":         {text: with(`post`, `POST /`), err: `f:2:79: "fee.match[0].method": want an HTTP method in capitals, such as "GET", got "POST /"`},
		"a host with port": {text: with(`"name"`, `"host": "a.example:80", "name"`), err: `f:2:10: "fee.host": want a host name in small letters without a port, such as "fees.example", got "a.example:80"`},
		"a path up":        {text: with(`/fees`, `/a/../fees`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "/a/../fees": ` + cwtarget.ErrSegment.Error()},
		"a path of two":    {text: with(`/fees`, `/fees//`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "/fees//": ` + cwtarget.ErrSegment.Error()},
		"a bare path":      {text: with(`/fees`, `fees`), err: `f:2:95: "fee.match[0].path": want a path such as "/sheets/", got "fees": ` + cwtarget.ErrForm.Error()},
		"a zero time":      {text: with(`"name"`, `"within": "0s", "name"`), err: `f:2:12: "fee.within": want a time from 1ms to 5m0s, got 0s`},
		"a huge body":      {text: with(`"name"`, `"body": "65MB", "name"`), err: `f:2:10: "fee.body": want from 1 to 67108864 bytes, got 68157440`},
		"no match":         {text: with(`{"method": "post", "path": "/fees"}`, ``), err: `f:2:67: "fee.match": want from 1 to 64 of {"method": ..., "path": ...}, got 0`},
		"the same twice":   {text: with(`]`, `, {"method": "POST", "path": "/%66ees/"}]`), err: `f:2:105: "fee.match[1]": want requests of its own, POST /%66ees/ belongs to target "fee" already`},
		"other capitals":   {text: with(`]`, `, {"path": "/Fees/x"}]`), err: `f:2:114: "fee.match[1].path": want a path such as "/sheets/", got "/Fees/x": another target spells it "/fees"`},
		"a bad budget":     {text: `{"measure": {"calls": -1}}`, err: `f:1:23: "measure.calls": want operations a second from 0 to 1000000, got -1`},
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
		"two files": {
			files: map[string]string{
				"b.jsonc": with("", ""),
				"a.jsonc": with("fee", "refund") + " // " + "/fees",
				"x.txt":   "not ours",
			},
			err: []string{`b.jsonc:2:68: "fee.match[0]": want requests of its own, POST /fees belongs to target "refund" already`},
		},
		"sorted by name": {
			files: map[string]string{"a.jsonc": with("", ""), "b.jsonc": strings.ReplaceAll(with("fee", "a-fee"), "/fees", "/a")},
			want:  []carobward.TargetName{"a-fee", "fee"},
		},
		"the same name": {
			files: map[string]string{"a.jsonc": with("", ""), "b.jsonc": with("/fees", "/b")},
			err:   []string{`b.jsonc:2:10: "fee.name": want a name of its own, another target has "fee" already`},
		},
		"two budgets": {
			files: map[string]string{"a.jsonc": `{"measure": {"calls": 1}}`, "b.jsonc": `{"measure": {"calls": 2}}`},
			err:   []string{`b.jsonc:1:13: "measure": want it in one file, another one has it already`},
		},
		"each file's slips": {
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

func TestPageHasEachKey(t *testing.T) {
	cwtest.CheckDocKeys(t, "../../docs/targets.md", cwjson.Keys(reflect.TypeFor[cwtarget.Set]()))
}

func TestExamples(t *testing.T) {
	for _, f := range []string{"atlas", "pase"} {
		if _, err := cwtarget.Load("../../examples/" + f + "/targets.jsonc"); err != nil {
			t.Error(err)
		}
	}
}

// TestTooMuchForTheStore checks that what apply would refuse for its size is
// found before.
func TestTooMuchForTheStore(t *testing.T) {
	s := cwtarget.Set{Targets: fleet(1800)}
	if got := cwtest.ErrorText(s.Validate()); !strings.Contains(got, "want at most 4096 targets, got 5400") || !strings.Contains(got, "want at most 900000 bytes") {
		t.Errorf("got %q, want both bounds named", got)
	}

	s.Targets = fleet(220)
	if err := s.Validate(); err != nil {
		t.Errorf("the fleet of the long run is refused: %v", err)
	}
}

// FuzzParse wants that what is accepted is valid, also as the store hands it
// back, and that each target can be found by each of its own paths.
func FuzzParse(f *testing.F) {
	f.Add([]byte(with("", "")))
	f.Add([]byte(with("/fees", "/caf%C3%A9/")))
	f.Add([]byte(`{"measure": {"calls": 10, "bytes": "1MB"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := cwtarget.Parse("f", raw)
		if err != nil {
			return
		}

		if err := s.Validate(); err != nil {
			t.Fatalf("accepted, but %v", err)
		}

		table := cwtarget.NewTable(s.Targets)

		for i := range s.Targets {
			one := &s.Targets[i]
			for _, m := range one.Match {
				method := m.Method
				if method == "" {
					method = "GET"
				}

				got, err := table.Find(one.Host, method, m.Path)
				if m.Method != "" && (err != nil || got != one) {
					t.Errorf("%s %s of %q: got %v, %v", m.Method, m.Path, one.Name, nameOf(got), err)
				}
			}
		}
	})
}
