package cwlookup

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// TestWidthsBounded has a caller ask for targets without end, each under
// another name.
func TestWidthsBounded(t *testing.T) {
	all := fleet(30)
	table := cwpeer.NewTable(all[0])
	table.Replace(all)

	w := NewWidths(table, 1, time.Second)
	for i := range 5 * heardMost {
		w.Of(carobward.TargetName(fmt.Sprint(i)), len(all))
	}

	if len(w.heard) != heardMost {
		t.Errorf("%d names are kept, want %d", len(w.heard), heardMost)
	}
}
