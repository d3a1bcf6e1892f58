package cwconfig

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
)

// TestWatches: a few entry VMs watch, in each failure domain, and another one
// takes over from a dead one.
func TestWatches(t *testing.T) {
	for name, test := range map[string]struct {
		vms, domains, dead, want int
	}{
		"one alone":                     {1, 1, 0, 1},
		"two":                           {2, 1, 0, 2},
		"one failure domain":            {9, 1, 0, 3},
		"two failure domains":           {9, 2, 0, 3},
		"today":                         {19, 3, 0, 3},
		"today, some dead":              {19, 3, 9, 3},
		"the long run":                  {200, 16, 0, 16},
		"the long run, a quarter's out": {200, 16, 50, 16},
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
				if Watches(p, peers) {
					got++
				}
			}

			if got != test.want {
				t.Errorf("%d watch, want %d", got, test.want)
			}
		})
	}
}

// TestPollsOfTheFleet: the polls of all entry VMs together stay the same as
// the fleet grows.
func TestPollsOfTheFleet(t *testing.T) {
	const span = 200 * time.Second

	for _, fleet := range []int{1, 3, 19, 200} {
		polls := 0

		for range fleet {
			plan := &schedule{}
			for at := time.Duration(0); at < span; at += tickEvery {
				if plan.due(time.Unix(0, int64(at)), fleet, 0).poll {
					polls++
				}
			}
		}

		if rate := float64(polls) / span.Seconds(); rate > pollsPerSecond*1.2 || rate < pollsPerSecond*0.6 {
			t.Errorf("%d entry VMs poll %.2f times a second together", fleet, rate)
		}
	}
}

// TestPollsBegin: a fleet that was started at once polls from the beginning,
// not only after a share of the interval.
func TestPollsBegin(t *testing.T) {
	const fleet = 200

	polls := 0

	for range fleet {
		plan := &schedule{}
		for at := time.Duration(0); at < pollEvery(fleet)/5; at += tickEvery {
			if plan.due(time.Unix(0, int64(at)), fleet, 0).poll {
				polls++
			}
		}
	}

	if polls == 0 {
		t.Error("nobody polled in the first fifth")
	}
}

func TestOffers(t *testing.T) {
	plan := &schedule{}
	now := time.Unix(1000, 0)
	got := ""

	for _, r := range []carobward.Revision{0, 1, 1, 1, 1, 2, 2} {
		if plan.due(now, 3, r).offer {
			got += fmt.Sprint(r)
		}

		now = now.Add(offerEvery)
	}

	if got != "11122" {
		t.Errorf("offers %s", got)
	}
}
