package cwconfig

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
)

// TestIsWatcher verifies the number of watchers: at least one per failure domain,
// and others take over from dead ones. 19 VMs are a current fleet, 200 is the
// size expected in the long run.
func TestIsWatcher(t *testing.T) {
	for name, test := range map[string]struct {
		vms, domains, dead, want int
	}{
		"1 VM":                {1, 1, 0, 1},
		"2 VMs":               {2, 1, 0, 2},
		"9 VMs, 1 domain":     {9, 1, 0, 3},
		"9 VMs, 2 domains":    {9, 2, 0, 3},
		"19 VMs, 3 domains":   {19, 3, 0, 3},
		"19 VMs, 9 dead":      {19, 3, 9, 3},
		"200 VMs, 16 domains": {200, 16, 0, 16},
		"200 VMs, 50 dead":    {200, 16, 50, 16},
	} {
		t.Run(name, func(t *testing.T) {
			var peers []carobward.Peer

			for i := range test.vms {
				p := carobward.Peer{ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Domain: carobward.Domain(fmt.Sprint(i % test.domains))}
				if i < test.dead {
					p.State = carobward.PeerDead
				}

				peers = append(peers, p)
			}

			got := 0

			for _, p := range peers[test.dead:] {
				if IsWatcher(p, peers) {
					got++
				}
			}

			if got != test.want {
				t.Errorf("%d entry VMs watch the store, want %d", got, test.want)
			}
		})
	}
}

// TestPollsOfTheFleet verifies that the poll rate of the fleet as a whole does
// not depend on its size.
func TestPollsOfTheFleet(t *testing.T) {
	const span = 200 * time.Second

	for _, fleet := range []int{1, 3, 19, 200} {
		polls := 0

		for range fleet {
			sched := &schedule{}
			for at := time.Duration(0); at < span; at += tickInterval {
				if sched.due(time.Unix(0, int64(at)), fleet, 0).poll {
					polls++
				}
			}
		}

		if rate := float64(polls) / span.Seconds(); rate > pollsPerSecond*1.2 || rate < pollsPerSecond*0.6 {
			t.Errorf("%d entry VMs poll %.2f times a second together, want 0.6 to 1.2 times pollsPerSecond", fleet, rate)
		}
	}
}

// TestPollsBegin verifies that a fleet whose entry VMs start at the same time
// polls right away, not only after part of the poll interval.
func TestPollsBegin(t *testing.T) {
	const fleet = 200

	polls := 0

	for range fleet {
		sched := &schedule{}
		for at := time.Duration(0); at < pollInterval(fleet)/5; at += tickInterval {
			if sched.due(time.Unix(0, int64(at)), fleet, 0).poll {
				polls++
			}
		}
	}

	if polls == 0 {
		t.Error("no poll in the first fifth of the interval")
	}
}

// TestOffers verifies that each new revision is offered in offerRounds rounds,
// which a newer revision starts anew.
func TestOffers(t *testing.T) {
	sched := &schedule{}
	now := time.Unix(1000, 0)
	got := ""

	for _, r := range []carobward.Revision{0, 1, 1, 1, 1, 2, 2} {
		if sched.due(now, 3, r).offer {
			got += fmt.Sprint(r)
		}

		now = now.Add(offerInterval)
	}

	if got != "11122" {
		t.Errorf("offers of revisions %s, want 11122", got)
	}
}
