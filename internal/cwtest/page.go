package cwtest

import (
	"bytes"
	"os"
	"testing"
)

// Text returns an error's text, "" for none.
func Text(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}

// WantKeys fails the test for each key that a page of the docs has no line
// for, as `KEY` at the start of a table's line.
func WantKeys(t testing.TB, page string, keys []string) {
	t.Helper()

	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}

	for _, k := range keys {
		if !bytes.Contains(raw, []byte("\n| `"+k+"` |")) {
			t.Errorf("%s has no line that starts with | `%s` |; add one", page, k)
		}
	}
}
