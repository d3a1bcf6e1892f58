package cwmesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestQuotaSettled verifies when an entry VM that has just started knows the others well enough
// to own token buckets: once it has heard from nearly all that the store lists, or after
// startSettleTime.
func TestQuotaSettled(t *testing.T) {
	const listed = 20

	for name, c := range map[string]struct {
		listed, heard int
		after         time.Duration
		want          bool
	}{
		"nobody heard":            {listed, 0, 0, false},
		"most heard":              {listed, 16, 0, false},
		"nearly all heard":        {listed, 17, 0, true},
		"all heard":               {listed, listed - 1, 0, true},
		"no list, all heard":      {0, listed - 1, 0, false},
		"a short list, all heard": {2, 1, 0, false},
		"outdated list, more":     {5, listed - 1, 0, true},
		"nobody heard, some time": {listed, 0, startSettleTime, true},
		"no list, some time":      {0, 0, startSettleTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &stepClock{now: time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)}
			table := NewTable(Node{ID: "self", Domain: "a"})
			m := New(Options{Table: table, Mirror: newMirror(), Clock: clock, Log: logr.Discard(), Notices: noNotices, Domains: []carobward.Domain{"a"}}, nil)
			table.AddListed([]Summary{{Domain: "a", Size: c.listed}}, clock.now)

			for i := range c.heard {
				id := carobward.VMID(fmt.Sprint("vm-", i))
				table.updatePeer(Peer{Node: Node{ID: id, Domain: "a", Callers: carobward.Address(id), Peers: carobward.Address(id)}, Boot: 1, State: Ready, LastSeen: clock.now})
			}

			if diff := cmp.Diff(c.want, m.Quota(clock.now.Add(c.after)).Settled); diff != "" {
				t.Error(diff)
			}
		})
	}
}
