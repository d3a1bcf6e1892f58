package cwconfig

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

const (
	// joinAsk is how many peers a newcomer asks at once, joinNeed how many
	// have to answer if the store does not.
	joinAsk  = 5
	joinNeed = 3
	// joinRetry is the pause between two tries.
	joinRetry = 300 * time.Millisecond
	// joinGrace is how long a newcomer waits for peers to become known,
	// before it takes the store's word alone.
	joinGrace = time.Second
)

// join waits until the configuration is known from the store or from several
// peers, and puts the highest revision in force. It returns false if ctx ends
// before.
func (s *Syncer) join(ctx context.Context) bool {
	began := s.clock.Now()

	for {
		if s.Join(ctx, s.clock.Now().Sub(began) >= joinGrace) {
			s.log.Info("Ready.", "revision", s.holder.Revision())

			return true
		}

		if !sleep(ctx, joinRetry) {
			return false
		}
	}
}

// Join asks the store and some peers once. It tells whether that was enough
// to be ready. Alone it trusts the store only if told so.
func (s *Syncer) Join(ctx context.Context, alone bool) bool {
	peers := s.others()
	if len(peers) == 0 && !alone {
		return false
	}

	sent := s.clock.Now()

	var (
		group    conc.WaitGroup
		found    Found
		storeErr error
	)

	group.Go(func() { found, storeErr = s.reader.State(ctx, &Config{}) })
	answers := s.survey(ctx, peers[:min(len(peers), joinAsk)])
	group.Wait()

	if alarming(storeErr) {
		s.alarm(fromStore, storeErr)
	}

	if storeErr != nil && len(answers) < min(joinNeed, max(len(peers), 1)) {
		return false
	}

	if !s.fetch(ctx, answers, &found) {
		return false
	}

	if storeErr == nil && found.Head.Revision() <= s.holder.Revision() {
		s.vitals.freshen(sent)
	}

	s.vitals.setReady()

	return true
}

// answer is what a ready peer said of its configuration.
type answer struct {
	from     carobward.Address
	revision carobward.Revision
}

// survey asks peers for their digests and returns those of the ready ones.
func (s *Syncer) survey(ctx context.Context, peers []carobward.Peer) []answer {
	all := make([]answer, len(peers))

	var group conc.WaitGroup

	for i, p := range peers {
		group.Go(func() {
			reply, err := s.call(ctx, p.Peers, cwwire.ConfigWant_CONFIG_WANT_DIGEST)
			if err == nil && reply.GetDigest().GetReady() {
				all[i] = answer{p.Peers, carobward.Revision(reply.GetDigest().GetRevision())}
			}
		})
	}

	group.Wait()

	var ready []answer

	for _, a := range all {
		if a.from != "" {
			ready = append(ready, a)
		}
	}

	return ready
}

// fetch puts the highest of the answers and the store's state in force. It
// returns false if a peer that has the highest does not hand it out.
func (s *Syncer) fetch(ctx context.Context, answers []answer, found *Found) bool {
	best := answer{}

	for _, a := range answers {
		if a.revision > best.revision {
			best = a
		}
	}

	if found.Config != nil && found.Config.Revision >= best.revision {
		s.holder.adoptWith(found.Config, found.Head.Changes)

		return true
	}

	if best.revision == 0 {
		return true
	}

	s.Ask(ctx, best.from)

	return s.holder.Revision() >= best.revision
}
