package cwnetwork

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSameSeedSameTable writes each table twice with the same seed and compares
// them.
func TestSameSeedSameTable(t *testing.T) {
	table := func() string {
		var b strings.Builder

		sizes := []int{12}
		for _, err := range []error{WriteCosts(&b, sizes, 2000, 3), WritePeaks(&b, sizes, 3), WriteFaults(&b, 8, 1)} {
			if err != nil {
				t.Fatal(err)
			}
		}

		return b.String()
	}

	if diff := cmp.Diff(table(), table()); diff != "" {
		t.Error(diff)
	}
}
