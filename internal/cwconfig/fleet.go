package cwconfig

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// maxStatusCalls limits the concurrent calls to peers for one FleetStatus.
const maxStatusCalls = 32

// ErrBehind means that peers have a higher revision than this entry VM, and
// fetching it failed. Nothing was changed.
const ErrBehind = errors.ConstError("config: this entry VM is behind its peers, ask another one")

// ErrNotReady means that this entry VM has not received the configuration yet.
// Nothing was changed.
const ErrNotReady = errors.ConstError("config: this entry VM has neither reached the store nor enough peers yet")

// PeerStatus is the condition that an entry VM reports of itself.
type PeerStatus struct {
	Peer carobward.Peer
	// Answered reports whether the entry VM answered; if not, only Peer is
	// set.
	Answered bool
	// Ready, Revision and Alarm are those of its Condition.
	Ready    bool
	Revision carobward.Revision
	Alarm    string
	// Age is the time since its revision was last known to be the newest;
	// negative if that was never known.
	Age time.Duration
}

// FleetStatus asks all entry VMs for their condition, except dead ones. Those
// that are on the VM list but have never sent a heartbeat are asked as well.
func (s *Syncer) FleetStatus(ctx context.Context) []PeerStatus {
	self, all := s.peers.Self(), s.peers.All()
	statuses := make([]PeerStatus, len(all))
	group := pool.New().WithMaxGoroutines(maxStatusCalls)

	for i, p := range all {
		statuses[i].Peer = p

		if p.ID == self.ID {
			statuses[i].setDigest(s.digest())

			continue
		}

		if p.Peers == "" || (p.State == carobward.PeerDead && !p.LastSeen.IsZero()) {
			continue
		}

		group.Go(func() {
			reply, err := s.call(ctx, p.Peers, cwwire.ConfigWant_CONFIG_WANT_DIGEST)
			if err == nil {
				statuses[i].setDigest(reply.GetDigest())
			}
		})
	}

	group.Wait()

	return statuses
}

func (s *PeerStatus) setDigest(d *cwwire.ConfigDigest) {
	s.Answered = true
	s.Ready = d.GetReady()
	s.Revision = carobward.Revision(d.GetRevision())
	s.Alarm = d.GetAlarm()
	s.Age = -1

	if d.GetKnown() {
		s.Age = time.Duration(d.GetAgeMillis()) * time.Millisecond
	}
}

// FleetRevision returns the highest revision known on any entry VM, this one
// included.
func (s *Syncer) FleetRevision() carobward.Revision {
	highest := s.holder.Revision()
	for _, p := range s.others() {
		highest = max(highest, p.Revision)
	}

	return highest
}

// CatchUp fetches the configuration from peers until none of them is known to
// have a higher revision than this entry VM, or returns ErrBehind. Without it,
// a change made here on an older store could start a second history.
func (s *Syncer) CatchUp(ctx context.Context) error {
	if !s.Condition().Ready {
		return ErrNotReady
	}

	for _, p := range s.others() {
		if p.Revision > s.holder.Revision() {
			s.ExchangeWith(ctx, p.Peers)
		}
	}

	if s.FleetRevision() > s.holder.Revision() {
		return ErrBehind
	}

	return nil
}
