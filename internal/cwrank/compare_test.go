package cwrank_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwrank"
)

// TestCompareBool checks the order by sorting a list.
func TestCompareBool(t *testing.T) {
	got := []bool{true, false, true, false}
	slices.SortFunc(got, cwrank.CompareBool)

	if diff := cmp.Diff([]bool{false, false, true, true}, got); diff != "" {
		t.Error(diff)
	}
}
