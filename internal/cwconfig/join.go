package cwconfig

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

const (
	// joinPeers is how many peers a new entry VM asks at once, minJoinAnswers
	// how many of them have to answer if the store doesn't.
	joinPeers      = 5
	minJoinAnswers = 3
	// joinRetry is the delay between two attempts.
	joinRetry = 300 * time.Millisecond
	// joinGrace is how long a new entry VM waits for peers to become known
	// before it accepts the store's answer without any peer's.
	joinGrace = time.Second
)

// join retries Join until this entry VM is ready. It returns false if ctx ends
// first.
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

// Join queries the store and a few peers once, makes the highest revision
// effective, and reports whether this entry VM is ready. The answer of the
// store or of enough peers is required. Without any known peer, it succeeds
// only if storeOnly is set.
func (s *Syncer) Join(ctx context.Context, storeOnly bool) bool {
	peers := s.others()
	if len(peers) == 0 && !storeOnly {
		return false
	}

	sent := s.clock.Now()

	var (
		group    conc.WaitGroup
		found    StoreState
		storeErr error
	)

	group.Go(func() { found, storeErr = s.reader.State(ctx, &Config{}) })
	answers := s.surveyPeers(ctx, peers[:min(len(peers), joinPeers)])
	group.Wait()

	if needsOperator(storeErr) {
		s.alarm(fromStore, storeErr)
	}

	if storeErr != nil && len(answers) < min(minJoinAnswers, max(len(peers), 1)) {
		return false
	}

	if !s.fetch(ctx, answers, &found) {
		return false
	}

	if storeErr == nil && found.Head.Revision() <= s.holder.Revision() {
		s.state.updateFresh(sent)
	}

	s.state.setReady()

	return true
}

// answer is the revision that a ready peer reported.
type answer struct {
	from     carobward.Address
	revision carobward.Revision
}

// surveyPeers asks peers for their digests and returns the answers of those
// that are ready.
func (s *Syncer) surveyPeers(ctx context.Context, peers []carobward.Peer) []answer {
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

// fetch makes the highest revision among the answers and the store's state
// effective. It returns false if that revision is a peer's and could not be
// fetched from it.
func (s *Syncer) fetch(ctx context.Context, answers []answer, found *StoreState) bool {
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

	s.ExchangeWith(ctx, best.from)

	return s.holder.Revision() >= best.revision
}
