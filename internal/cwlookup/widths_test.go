package cwlookup

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// TestWidthsBounded verifies that a caller that asks for ever new names of
// targets cannot make the learned widths grow without bound.
func TestWidthsBounded(t *testing.T) {
	all := make([]carobward.Peer, 30)
	for i := range all {
		all[i] = carobward.Peer{ID: carobward.VMID(fmt.Sprint("vm-", i)), State: carobward.PeerLive}
	}

	table := cwpeer.NewTable(all[0])
	table.Replace(all)

	w := NewWidths(table, 1, time.Second)
	for i := range 5 * maxLearned {
		w.Of(carobward.TargetName(fmt.Sprint(i)), len(all))
	}

	if len(w.learned) != maxLearned {
		t.Errorf("%d widths are kept, want %d", len(w.learned), maxLearned)
	}
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		rate      float64
		old, rank int
		want      int
	}{
		"low rate":                   {100, 0, 0, 2},
		"high rate":                  {5000, 0, 0, 4},
		"unchanged once shared":      {2500, 4, 0, 4},
		"share beyond the old width": {2500, 0, 3, 4},
		"falling rate":               {600, 4, 0, 2},
		"no requests":                {0, 9, 0, 2},
		"stray requests":             {20, 0, 18, 2},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := nextWidth(test.rate, 3000, test.old, test.rank); got != test.want {
				t.Errorf("width %d, want %d", got, test.want)
			}
		})
	}
}
