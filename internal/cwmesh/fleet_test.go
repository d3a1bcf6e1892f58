package cwmesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// Times within which the simulated fleets have to know their members.
const (
	// simFormTime is how long a starting fleet takes until all know all.
	simFormTime = 3 * time.Second
	// simDeathTime is how long a crash takes to be known everywhere: two and a half heartbeats,
	// two for a summary to leave its failure domain and to spread in another one, and as
	// much again for lost packets.
	simDeathTime = liveTimeout + 4*heartbeatInterval
)

// TestFleet simulates changes and failures of a fleet, and checks that in time each entry VM
// knows its failure domain, the sizes of the others and a fleet size for budgets that is not
// too small.
func TestFleet(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		vms  int
		loss float64
		play func(*sim)
		// within is the time until all entry VMs have to know the fleet.
		within time.Duration
	}{
		"fleet starts":          {60, 0, nil, simFormTime},
		"large fleet":           {300, 0, nil, simFormTime},
		"one VM in each domain": {5, 0, nil, simFormTime},
		"packet loss":           {60, 0.03, nil, 2 * simFormTime},
		"one dies":              {60, 0, func(s *sim) { s.vms[45].stop() }, simDeathTime},
		"the seeds die":         {60, 0, func(s *sim) { s.stopSome(func(i int) bool { return i < simSeeds }) }, simDeathTime},
		"half die":              {60, 0, func(s *sim) { s.stopSome(func(i int) bool { return i%2 == 0 }) }, simDeathTime},
		"half return": {60, 0, func(s *sim) {
			s.stopSome(func(i int) bool { return i%2 == 0 })
			s.run(2*time.Second, nil)
			s.startAll()
		}, simDeathTime},
		"all restart": {60, 0, func(s *sim) { s.stopSome(func(int) bool { return true }); s.run(time.Second, nil); s.startAll() }, simFormTime},
		"a domain dies": {60, 0, func(s *sim) {
			s.stopSome(func(i int) bool { return i%simDomains == 1 })
		}, domainTimeout},
		"a domain is cut off": {60, 0, func(s *sim) {
			s.cut = "hall-1"
			s.run(2*domainTimeout, nil)
			s.cut = ""
		}, simDeathTime},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, c.vms)
			s.loss = c.loss

			if c.play != nil {
				s.run(2*simFormTime, nil)
				c.play(s)
			}

			wrong := s.mismatch()
			for until := s.now.Add(c.within); wrong != "" && s.now.Before(until); wrong = s.mismatch() {
				s.run(simCheckInterval, nil)
			}

			if wrong != "" {
				t.Error(wrong)
			}
		})
	}
}

func (s *sim) stopSome(which func(i int) bool) {
	for i, v := range s.vms {
		if which(i) {
			v.stop()
		}
	}
}

// TestFleetRestart restarts a whole fleet whose seeds start last, with the list of the fleet
// from the store. An entry VM that starts early must know one of those that are listed soon
// after that one runs, since it gets its replica of the store from there.
func TestFleetRestart(t *testing.T) {
	s := newSim(5, 60)
	s.run(2*simFormTime, nil)
	list := s.vms[0].mesh.Table.Fleet(s.now, Ready)

	if len(list) != simDomains {
		t.Fatalf("the list has %d failure domains", len(list))
	}

	s.stopSome(func(int) bool { return true })
	s.startAll()

	for _, v := range s.vms[:simSeeds] {
		v.startAt = s.now.Add(2 * simSpread)
	}

	informed := map[*simVM]bool{}
	s.run(simSpread, func() {
		for _, v := range s.vms {
			if v.alive && !informed[v] {
				informed[v] = true
				v.mesh.Table.AddListed(list, s.now)
				v.mesh.HeartbeatDomain()
			}
		}
	})
	s.run(greetInterval+4*simDelay, nil)

	for _, v := range s.vms[simSeeds:] {
		if len(v.mesh.Table.Live(s.now)) == 0 {
			t.Errorf("%s knows nobody %s after the last start", v.node.ID, greetInterval)
		}
	}
}

// TestFleetAlive checks that with packet loss no live entry VM counts as dead in its failure
// domain for more than two heartbeats.
func TestFleetAlive(t *testing.T) {
	t.Parallel()

	s := newSim(2, 50)
	s.run(2*simFormTime, nil)

	s.loss = 0.03
	missed := map[carobward.VMID]time.Time{}

	s.run(10*time.Second, func() {
		for _, v := range s.vms {
			if 1+len(v.mesh.Table.Live(s.now)) == len(s.vms)/simDomains {
				delete(missed, v.node.ID)
			} else if at, ok := missed[v.node.ID]; !ok {
				missed[v.node.ID] = s.now
			} else if s.now.Sub(at) > 2*heartbeatInterval {
				t.Fatalf("%s has missed a live peer for %s", v.node.ID, s.now.Sub(at))
			}
		}
	})
}

// TestFleetStoreAnswer checks that an answer of the store to one entry VM is known to all others
// at once, also with packet loss, and with few packets between failure domains.
func TestFleetStoreAnswer(t *testing.T) {
	t.Parallel()

	for name, loss := range map[string]float64{"no loss": 0, "packet loss": 0.03} {
		t.Run(name, func(t *testing.T) {
			const (
				soon    = 4 * simStep
				answers = 10
			)

			s := newSim(3, 60)
			s.run(2*simFormTime, nil)

			s.loss = loss
			missed := 0

			for range answers {
				sender := s.vms[s.rnd.IntN(len(s.vms))]
				answeredAt := s.now
				sender.mesh.answered(answeredAt, answeredAt)
				sender.mesh.HeartbeatFleet(nil)
				s.run(soon, nil)

				for _, v := range s.vms {
					// Ages are sent in whole milliseconds.
					if v.mesh.LastStoreAnswer().Before(answeredAt.Add(-simStep)) {
						missed++
					}
				}

				s.run(time.Second, nil)
			}

			// Each entry VM may miss one datagram; a failure domain does only if both of its relays do.
			if limit := int(2 * loss * answers * float64(len(s.vms))); missed > limit {
				t.Errorf("%d of %d times an entry VM did not know of an answer at once, at most %d are allowed", missed, answers*len(s.vms), limit)
			}
		})
	}
}

// TestFleetPackets checks that the packets an entry VM sends between failure domains don't
// grow with the fleet, and that the packets it sends in all grow only with its failure domain.
func TestFleetPackets(t *testing.T) {
	t.Parallel()

	const seconds = 3

	for _, count := range []int{25, 100} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			s := newSim(4, count)
			s.run(2*simFormTime, nil)

			s.packets, s.far = 0, 0
			s.run(seconds*time.Second, nil)

			each := float64(s.packets) / float64(count) / seconds
			far := float64(s.far) / seconds

			if limit := float64(count/simDomains + 4); each > limit {
				t.Errorf("%.1f datagrams a second and VM, want at most %.1f", each, limit)
			}

			// summarySenders from each failure domain to each other one.
			if limit := 1.2 * summarySenders * simDomains * (simDomains - 1); far > limit {
				t.Errorf("%.0f datagrams a second between failure domains, want at most %.0f", far, limit)
			}
		})
	}
}

// TestReadyBeforeReplies lets an entry VM become ready after it has greeted the others and before
// their replies arrive. All must know it as ready long before its next heartbeats.
func TestReadyBeforeReplies(t *testing.T) {
	t.Parallel()

	const (
		vms   = 40
		delay = 100 * time.Millisecond
	)

	s := newSim(1, vms)
	s.run(2*simFormTime, nil)

	late := s.vms[simDomains] // Of the failure domain of the first seed.
	late.stop()
	s.run(keepTime+time.Second, nil)

	late.onStart = func(v *simVM) {
		v.mesh.state.Store(uint32(Starting))
		v.nextRound = s.now.Add(heartbeatInterval)
	}
	late.startAt = s.now.Add(simStep)
	s.run(simStep, nil)
	late.mesh.SetState(Ready)
	s.run(delay, nil)

	for _, v := range s.vms {
		if v == late || v.node.Domain != late.node.Domain {
			continue
		}

		if !slices.ContainsFunc(v.mesh.Table.Live(s.now), func(p Peer) bool { return p.ID == late.node.ID && p.State == Ready }) {
			t.Errorf("%s does not know that %s is ready", v.node.ID, late.node.ID)
		}
	}
}
