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
	all := make([]carobward.Peer, 30)
	for i := range all {
		all[i] = carobward.Peer{ID: carobward.VMID(fmt.Sprint("vm-", i)), State: carobward.PeerLive}
	}

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

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		rate       float64
		old, place int
		want       int
	}{
		"cold":                         {100, 0, 0, 2},
		"hot":                          {5000, 0, 0, 4},
		"stays once others help":       {2500, 4, 0, 4},
		"one of those who help":        {2500, 0, 3, 4},
		"cools down":                   {600, 4, 0, 2},
		"gone":                         {0, 9, 0, 2},
		"a few strays at the last one": {20, 0, 18, 2},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := decide(test.rate, 3000, test.old, test.place); got != test.want {
				t.Errorf("width %d, want %d", got, test.want)
			}
		})
	}
}
