package cwfollow

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// rests tells whether this entry VM leaves it to others to ask a store that serves
// nobody, by the age of the newest word. One that the store has refused itself goes
// by its own pause, and one that it answers goes on.
func (f *Follower) rests(known *fleet, now time.Time, age time.Duration) bool {
	if f.back > 0 || now.Sub(f.answered) < servedTime || !known.isOutage() {
		f.rest = time.Time{}

		return false
	}

	if age <= staleTime {
		return true
	}

	if f.rest.IsZero() {
		f.rest = now.Add(spread(restTime, known.alive(), rand.Float64()))
	}

	return now.Before(f.rest)
}

// setAway tells the peers whether the store serves this entry VM.
func (f *Follower) setAway(away bool) {
	if f.Mesh.SetAway(away) {
		f.Mesh.Tell()
	}
}

// failed notes a call that failed.
func (f *Follower) failed(err error) {
	if errors.Is(err, carobward.ErrHistory) {
		f.Log.Info("The store no longer has the changes, listing all keys.", "after", f.Mirror.State().Index, "cause", err.Error())
		f.list = true

		return
	}

	if f.back == 0 {
		f.failing = f.Clock.Now()
		f.Log.Info("Lost the store.", "cause", err.Error(), "index", f.Mirror.State().Index)
	}

	f.back = min(backMost, max(backFirst, 2*f.back))
	f.tried, f.draw = f.Clock.Now(), rand.Float64()
	f.setAway(true)
}

// regained notes that the store answers. After an outage its list may lack
// servers that live, which have to write their entries again; for a while a
// missing entry proves nothing. Where the store served others meanwhile there was
// no outage.
func (f *Follower) regained(now time.Time) {
	f.setAway(false)

	if f.back == 0 {
		return
	}

	away := now.Sub(f.failing)
	stale := now.Sub(f.Mesh.Word()) > outageTime
	f.back = 0

	if away > outageTime && stale && f.Mirror.State().Index > 0 {
		f.Mirror.Hold(now)
	}

	f.Log.Info("The store is back.", "away", away.String(), "hold", f.Mirror.Held(now) > 0)
}
