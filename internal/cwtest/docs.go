package cwtest

import (
	"bytes"
	"os"
	"testing"
)

// ErrorText returns an error's text, or "" if the error is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}

// CheckDocKeys fails the test for each key that is missing from the tables of a
// documentation page. The key must be the first cell of a row, as `KEY`.
func CheckDocKeys(t testing.TB, page string, keys []string) {
	t.Helper()

	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}

	for _, k := range keys {
		if !bytes.Contains(raw, []byte("\n| `"+k+"` |")) {
			t.Errorf("%s has no table row that starts with | `%s` |; add one", page, k)
		}
	}
}
