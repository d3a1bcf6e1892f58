package cwstand_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwstand"
)

func TestReadActs(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []cwstand.Act
		err  string
	}{
		"acts":    {"# a comment\n\n cut \nwhole", []cwstand.Act{cwstand.ActTruncate, cwstand.ActComplete}, ""},
		"unknown": {"cut\n\nslice\n", nil, `script: line 3: act "slice" not valid`},
		"none":    {"# nothing\n", nil, "script: no acts not valid"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := cwstand.ReadActs(strings.NewReader(c.text))
			if diff := cmp.Diff(c.want, got); diff != "" || (err == nil) != (c.err == "") || err != nil && err.Error() != c.err {
				t.Error(diff, err)
			}
		})
	}
}
