package cwfollow

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// isDeferred reports whether this entry VM leaves it to others to query a store that serves nobody,
// given the age of the newest answer. An entry VM whose own calls fail waits for its own pause
// instead, and one that the store answered within servedPeriod goes on to query.
func (f *Follower) isDeferred(known *fleet, now time.Time, age time.Duration) bool {
	if f.backoff > 0 || now.Sub(f.lastAnswer) < servedPeriod || !known.isOutage() {
		f.deferUntil = time.Time{}

		return false
	}

	if age <= staleAge {
		return true
	}

	if f.deferUntil.IsZero() {
		f.deferUntil = now.Add(randomPause(outageTurnDelay, known.countAlive(), rand.Float64()))
	}

	return now.Before(f.deferUntil)
}

// setStoreDown reports to the peers whether this entry VM gets no answers from the store.
func (f *Follower) setStoreDown(down bool) {
	if f.Mesh.SetStoreDown(down) {
		f.Mesh.HeartbeatDomain()
	}
}

// handleFailure records a failed call.
func (f *Follower) handleFailure(err error) {
	if errors.Is(err, carobward.ErrHistoryGone) {
		f.Log.Info("The store doesn't have the changes, listing all keys.", "after", f.Mirror.State().Index, "cause", err.Error())
		f.needsList = true

		return
	}

	if f.backoff == 0 {
		f.failingSince = f.Clock.Now()
		f.Log.Info("Calls to the store fail.", "cause", err.Error(), "index", f.Mirror.State().Index)
	}

	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	f.lastFailure, f.jitter = f.Clock.Now(), rand.Float64()
	f.setStoreDown(true)
}

// handleRecovery records that the store answers. After an outage its list may lack live servers,
// which have to write their entries again, so removals are held back for a while. If the store
// served others meanwhile, there was no outage.
func (f *Follower) handleRecovery(now time.Time) {
	f.setStoreDown(false)

	if f.backoff == 0 {
		return
	}

	outage := now.Sub(f.failingSince)
	stale := now.Sub(f.Mesh.LastStoreAnswer()) > minOutage
	f.backoff = 0

	if outage > minOutage && stale && f.Mirror.State().Index > 0 {
		f.Mirror.Hold(now)
	}

	f.Log.Info("The store is back.", "away", outage.String(), "hold", f.Mirror.HoldRemaining(now) > 0)
}
