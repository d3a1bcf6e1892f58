package cwmesh

import (
	"math"
	"slices"
	"testing"

	"carobward.example/carobward"
)

// limitNotices returns the limits that servers announced to this entry VM, for a newcomer also
// those that others passed on.
func (v *simVM) limitNotices(newcomer bool) []carobward.LimitAnnouncement {
	list := slices.Clone(v.ownLimits)
	if newcomer {
		for _, w := range v.learnedLimits {
			w.Relayed = true
			list = append(list, w)
		}
	}

	return list
}

func (v *simVM) receiveNotices(notices carobward.Announcements, _ carobward.VMID) {
	for _, l := range notices.Leaving {
		v.learnedLeaving[l] = true
	}

	for _, w := range notices.Limits {
		if old, ok := v.learnedLimits[w.Server]; !ok || !w.Relayed && w.At.After(old.At) {
			v.learnedLimits[w.Server] = w
		}
	}
}

// TestFleetLimits checks that a limit that a server announced to one entry VM is known in its
// whole failure domain within two heartbeats, also with packet loss, and to a newcomer as soon
// as it knows the others. A rate that is not a finite number is a limit that can't be read.
func TestFleetLimits(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		announced, want carobward.Limit
		loss            float64
	}{
		"a limit":      {carobward.Limit{Present: true, Readable: true, Rate: 1.4}, carobward.Limit{Present: true, Readable: true, Rate: 1.4}, 0},
		"packet loss":  {carobward.Limit{Present: true, Readable: true, Rate: 1.4}, carobward.Limit{Present: true, Readable: true, Rate: 1.4}, 0.03},
		"limit lifted": {carobward.Limit{}, carobward.Limit{}, 0},
		"rate of zero": {carobward.Limit{Present: true, Readable: true}, carobward.Limit{Present: true, Readable: true}, 0},
		"not a number": {carobward.Limit{Present: true, Readable: true, Rate: carobward.Rate(math.NaN())}, carobward.Limit{Present: true}, 0},
		"infinite":     {carobward.Limit{Present: true, Readable: true, Rate: carobward.Rate(math.Inf(1))}, carobward.Limit{Present: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			const server = "i-1"

			s := newSim(6, 60)
			late := s.vms[len(s.vms)-simDomains]
			s.run(2*simFormTime, nil)
			late.stop()

			s.loss = c.loss
			sender := s.vms[0]
			announcedAt := s.now
			sender.ownLimits = []carobward.LimitAnnouncement{{Server: server, Limit: c.announced, At: announcedAt}}
			s.run(2*heartbeatInterval+2*simDelay, nil)

			late.startAt = s.now
			s.run(simFormTime, nil)

			for _, v := range s.vms {
				w, ok := v.learnedLimits[server]
				if v == sender || v.node.Domain != sender.node.Domain {
					continue
				}

				// A notice that was passed on may have gone several hops.
				maxOff := 2 * simStep
				if w.Relayed {
					maxOff = simCheckInterval
				}

				if off := w.At.Sub(announcedAt); !ok || w.Limit != c.want || off.Abs() > maxOff {
					t.Errorf("%s has another limit, or one with another time: %+v", v.node.ID, w)
				}
			}
		})
	}
}

// TestFleetLeaving checks that a server's notice that it is leaving reaches all entry VMs of a
// failure domain within two heartbeats, also with packet loss.
func TestFleetLeaving(t *testing.T) {
	const loss = 0.03

	s := newSim(6, 60)
	s.run(2*simFormTime, nil)

	s.loss = loss
	want := carobward.LeavingAnnouncement{Server: "i-1", Start: 7}
	sender := s.vms[0]
	sender.ownLeaving = []carobward.LeavingAnnouncement{want}
	s.run(2*heartbeatInterval+2*simDelay, nil)

	for _, v := range s.vms {
		if v != sender && v.node.Domain == sender.node.Domain && !v.learnedLeaving[want] {
			t.Errorf("%s does not know that the server is leaving", v.node.ID)
		}
	}
}
