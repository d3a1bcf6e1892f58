package cwjson_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
	"carobward.example/carobward/internal/cwtest"
)

type document struct {
	Name  string             `json:"name"`
	Count int                `json:"count"`
	Share float64            `json:"share"`
	Wait  carobward.Duration `json:"wait"`
	Part  *part              `json:"part"`
	Parts []part             `json:"parts"`
}

type part struct {
	Key string `json:"key"`
}

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		text string
		want document
		err  string
	}{
		"comments and trailing commas": {
			text: `{/* one */ "name": "a", // two
				"parts": [{"key": "b"},], "wait": "2s",}`,
			want: document{Name: "a", Parts: []part{{"b"}}, Wait: 2e9},
		},
		"all problems at once, each with its place": {
			text: "{\n \"nam\": \"a\",\n \"count\": \"b\",\n \"parts\": [{}, {\"key\": 1}]\n}",
			err: `f:2:2: "nam": unknown key, did you mean "name"?` + "\n" +
				`f:3:11: "count": want a whole number, got "b"` + "\n" +
				`f:4:24: "parts[1].key": want text in quotes, got 1`,
		},
		"a key in different case":   {text: `{"Name": "a"}`, err: `f:1:2: "Name": unknown key, did you mean "name"?`},
		"a key unlike any":          {text: `{"weight": 1}`, err: `f:1:2: "weight": unknown key, want one of count, name, part, parts, share, wait`},
		"a key twice":               {text: `{"count": 1, "count": 2}`, err: `f:1:14: "count": want each key once, this is its second time`},
		"a key twice, escaped":      {text: `{"count": 1, "coun\u0074": 2}`, err: `f:1:14: "count": want each key once, this is its second time`},
		"null":                      {text: `{"part": null}`, err: `f:1:10: "part": want a value, got null; leave the key out for its default`},
		"a fraction":                {text: `{"count": 1.5}`, err: `f:1:11: "count": want a whole number, got 1.5`},
		"too large a number":        {text: `{"share": 1e999}`, err: `f:1:11: "share": want a number, got 1e999`},
		"a list in place of text":   {text: `{"name": []}`, err: `f:1:10: "name": want text in quotes, got a list in [ ]`},
		"text in place of a list":   {text: `{"parts": "a"}`, err: `f:1:11: "parts": want a list in [ ], got "a"`},
		"a number in place of keys": {text: `{"part": 7}`, err: `f:1:10: "part": want keys in { }, got 7`},
		"a bad duration":            {text: `{"wait": 5}`, err: `f:1:10: "wait": want a duration in quotes such as "250ms", got 5`},
		"trailing data":             {text: `{} {}`, err: `f: line 1, column 4: invalid character '{' after top-level value`},
		"empty":                     {text: ``, err: `f: line 2, column 1: parsing value: unexpected EOF`},
		"not UTF-8":                 {text: "{\"name\": \"\xff\"}", err: `f: want UTF-8`},
		"nested too deeply":         {text: strings.Repeat("[", 99), err: `f: want at most 64 brackets open at once, got 99`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got document

			_, err := cwjson.Decode("f", []byte(tt.text), &got)
			if diff := cmp.Diff(tt.err, cwtest.ErrorText(err)); diff != "" {
				t.Fatalf("error (-want +got):\n%s", diff)
			}

			if diff := cmp.Diff(tt.want, got); err == nil && diff != "" {
				t.Errorf("document (-want +got):\n%s", diff)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	want := []string{"count", "name", "part", "part.key", "parts", "parts[].key", "share", "wait"}
	if diff := cmp.Diff(want, cwjson.Keys(reflect.TypeFor[document]())); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
}

// FuzzDecode checks that an accepted file decodes as with encoding/json, and that each
// problem of a rejected one has a place and a text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "count": 1, "parts": [{"key": "b"}]}`))
	f.Add([]byte(`{"wait": "1s", "share": 0.5} // end`))
	f.Add([]byte(`{"part": {"key": "\ud800"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var got, want document

		_, err := cwjson.Decode("f", raw, &got)

		var problems cwjson.Problems
		if errors.As(err, &problems) {
			for _, p := range problems {
				if p.Place == "" || p.Text == "" {
					t.Errorf("problem without a place or a text: %#v", p)
				}
			}

			return
		}

		if json.Valid(raw) {
			if err := json.Unmarshal(raw, &want); err != nil {
				t.Fatalf("accepted, but encoding/json returns the error %v", err)
			}

			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("differs from encoding/json (-json +ours):\n%s", diff)
			}
		}
	})
}
