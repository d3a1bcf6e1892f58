package cwconfig

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// surveyMost bounds how many peers are asked at once for an operator.
const surveyMost = 32

// ErrBehind tells that peers have a higher revision than this entry VM, which
// could not get it. Nothing was changed.
const ErrBehind = errors.ConstError("config: this entry VM is behind its peers, ask another one")

// ErrNotReady tells that this entry VM does not know the configuration yet.
// Nothing was changed.
const ErrNotReady = errors.ConstError("config: this entry VM has neither reached the store nor enough peers yet")

// Standing is the condition of one entry VM as it says itself.
type Standing struct {
	// Peer is the entry VM.
	Peer carobward.Peer
	// Answered tells that it answered; else only Peer is set.
	Answered bool
	// Ready, Revision and Alarm are as in its Condition.
	Ready    bool
	Revision carobward.Revision
	Alarm    string
	// Age is for how long it has not known whether its revision is the
	// newest; negative for never.
	Age time.Duration
}

// Standings asks all entry VMs for their condition, but for dead ones. Those
// that are only listed have not been heard of and are asked as well.
func (s *Syncer) Standings(ctx context.Context) []Standing {
	self, all := s.peers.Self(), s.peers.All()
	standings := make([]Standing, len(all))
	group := pool.New().WithMaxGoroutines(surveyMost)

	for i, p := range all {
		standings[i].Peer = p

		if p.ID == self.ID {
			standings[i].read(s.digest())

			continue
		}

		if p.Peers == "" || (p.State == carobward.PeerDead && !p.LastSeen.IsZero()) {
			continue
		}

		group.Go(func() {
			reply, err := s.call(ctx, p.Peers, cwwire.ConfigWant_CONFIG_WANT_DIGEST)
			if err == nil {
				standings[i].read(reply.GetDigest())
			}
		})
	}

	group.Wait()

	return standings
}

func (s *Standing) read(d *cwwire.ConfigDigest) {
	s.Answered = true
	s.Ready = d.GetReady()
	s.Revision = carobward.Revision(d.GetRevision())
	s.Alarm = d.GetAlarm()
	s.Age = -1

	if d.GetKnown() {
		s.Age = time.Duration(d.GetAgeMillis()) * time.Millisecond
	}
}

// FleetRevision returns the highest revision that a peer is known to have, or
// this entry VM.
func (s *Syncer) FleetRevision() carobward.Revision {
	highest := s.holder.Revision()
	for _, p := range s.others() {
		highest = max(highest, p.Revision)
	}

	return highest
}

// CatchUp makes sure that no live peer is known to have a higher revision
// than this entry VM, so that a change made here can't start a second history
// upon an older store.
func (s *Syncer) CatchUp(ctx context.Context) error {
	if !s.Condition().Ready {
		return ErrNotReady
	}

	for _, p := range s.others() {
		if p.Revision > s.holder.Revision() {
			s.Ask(ctx, p.Peers)
		}
	}

	if s.FleetRevision() > s.holder.Revision() {
		return ErrBehind
	}

	return nil
}
