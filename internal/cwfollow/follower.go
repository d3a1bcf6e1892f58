// Package cwfollow keeps an entry VM's replica of the platform's store up to date. The entry VMs have
// an order: the first ones watch the store and pass its answers on to the others. Each of the others
// queries the store itself once the newest answer that reached it is too old.
package cwfollow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwmirror"
)

// Intervals and timeouts of the calls.
const (
	// watchTimeout is how long a watch waits. A watch may miss changes, and only the next call
	// shows them.
	watchTimeout = 600 * time.Millisecond
	// overdueDelay is how long after its expected time an answer of the store is overdue. Normally
	// the store answers within some milliseconds. An overdue answer is reported to the peers, so
	// that the entry VMs that come next in the order don't all query at once.
	overdueDelay = 200 * time.Millisecond
	// batchDelay is the pause after changes, so that the next call returns several further ones:
	// the platform bills each call.
	batchDelay = 100 * time.Millisecond
	// pollInterval is the time between checks whether to query the store.
	pollInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. Calls to an unavailable store are billed, too.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// fleetWriteInterval is the minimum time between writes of the list of entry VMs, and from the
	// start to the first write: by then the entry VMs have discovered each other.
	fleetWriteInterval = 3 * time.Second
	// minOutage is how long calls have to fail before the store may have lost the entries of live
	// servers.
	minOutage = 1500 * time.Millisecond
)

// Options are the dependencies and settings of a Follower.
type Options struct {
	Feed   carobward.Feed
	Mirror *cwmirror.Mirror
	Mesh   *cwmesh.Mesh
	Table  *cwmesh.Table
	Clock  carobward.Clock
	Log    logr.Logger
	// Changed is called with the changes that came from the store.
	Changed func([]carobward.Item)
	// First reports whether the whole fleet starts for the first time, Seed whether this entry VM
	// is one that the others contact first.
	First bool
	Seed  bool
}

// Follower queries the store.
type Follower struct {
	Options

	// needsList requests a list of all keys in place of a watch.
	needsList bool
	// watcher reports whether this entry VM is one that watches the store. One that queries because
	// the newest answer is too old doesn't wait for changes: while it waited, the next ones in the
	// order would query, too.
	watcher bool
	// leads reports whether this entry VM is the first in the order.
	leads atomic.Bool
	// backoff is the current pause after a failure, 0 while the store answers.
	backoff time.Duration
	// failingSince is when the calls began to fail, lastFailure when the last one failed.
	failingSince time.Time
	lastFailure  time.Time
	// jitter is the random part of the pause after lastFailure.
	jitter float64
	// lastAnswer is when the store last answered this entry VM.
	lastAnswer time.Time
	// deferUntil is until when this entry VM leaves the queries to others during an outage.
	deferUntil time.Time
	// peerWait is how long after the start an entry VM without a replica waits for the replica of a
	// peer before it queries the store.
	peerWait time.Duration
	// started is when the Follower was created, fleetWritten when it last wrote the list of entry
	// VMs.
	started      time.Time
	fleetWritten time.Time
	// unreadable is set while the store has items that can't be decoded.
	unreadable bool
	// lastRestore is when this entry VM last rewrote keys of entry VMs that the store had lost.
	lastRestore time.Time
}

// New returns a Follower.
func New(o Options) *Follower {
	o.Log = o.Log.WithName("follow")

	return &Follower{Options: o, started: o.Clock.Now()}
}

// Leads reports whether this entry VM is the first in the order in which entry VMs query the store.
func (f *Follower) Leads() bool { return f.leads.Load() }

// Run keeps the replica up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)

	for ctx.Err() == nil {
		if !f.isDue() {
			carobward.Sleep(ctx, pollInterval)

			continue
		}

		f.step(ctx)
	}
}

// fleet returns the current state of the fleet.
func (f *Follower) fleet(now time.Time) *fleet {
	return &fleet{self: f.Table.Self(), storeDown: f.backoff > 0, peers: f.Table.Live(now), domains: f.Table.Domains(now)}
}

// isDue reports whether this entry VM queries the store now.
func (f *Follower) isDue() bool {
	now := f.Clock.Now()
	// Right after a pause of this process the heartbeats of others may wait to be read.
	known := f.fleet(f.Mesh.HeardUntil(now))

	if f.backoff > 0 && now.Sub(f.lastFailure) < backoffPause(f.backoff, known.countUnserved(), f.jitter) {
		return false
	}

	if f.Mesh.NeedsStore() {
		return true
	}

	if f.Mirror.State().Index == 0 && now.Sub(f.started) < f.peerWait {
		return false
	}

	place, age := known.place(), f.Mesh.RunningAge(f.Mesh.Fresh(), now)
	f.watcher = place != noPlace && place < watchers
	f.leads.Store(place == 0)

	return shouldQuery(place, age) && !f.isDeferred(known, now, age)
}

// step makes one call and handles its outcome.
func (f *Follower) step(ctx context.Context) {
	began := f.Clock.Now()

	c, err := f.query(ctx)
	if ctx.Err() != nil {
		return
	}

	switch {
	case err == nil:
		f.handleAnswer(ctx, c, began)
	case f.wasPaused():
		// The call may have timed out while this process was paused, not for the store's sake.
		f.Log.Info("A call to the store failed over a pause of this process; it is made again.", "cause", err.Error())
		carobward.Sleep(ctx, pollInterval)
	default:
		f.handleFailure(err)
	}
}

// wasPaused reports whether this process was paused just now.
func (f *Follower) wasPaused() bool {
	now := f.Clock.Now()

	return f.Mesh.HeardUntil(now).Before(now)
}

// watchWait returns how long a watch waits for changes.
func (f *Follower) watchWait() time.Duration {
	if f.watcher {
		return watchTimeout
	}

	return 0
}

// watchAnswer says that the store fails this entry VM if the timer that it returns is not stopped
// in time. After a pause of the process the answer may be there already, and has overdueDelay more
// to be read.
func (f *Follower) watchAnswer(d time.Duration) *time.Timer {
	var late *time.Timer

	armed := make(chan struct{})
	late = time.AfterFunc(d, func() {
		<-armed

		if f.wasPaused() {
			late.Reset(overdueDelay)
		} else {
			f.setStoreDown(true)
		}
	})

	close(armed)

	return late
}

// query lists all keys, or watches for changes.
func (f *Follower) query(ctx context.Context) (carobward.Changes, error) {
	wait := f.watchWait()

	late := f.watchAnswer(wait + overdueDelay)
	defer late.Stop()

	after := f.Mirror.State().Index
	if f.needsList || after == 0 {
		return f.Feed.List(ctx)
	}

	return f.Feed.Watch(ctx, after, wait)
}

// handleAnswer applies an answer of the store to a call that began at the given time.
func (f *Follower) handleAnswer(ctx context.Context, c carobward.Changes, began time.Time) {
	now := f.Clock.Now()
	f.lastAnswer = now
	f.handleRecovery(now)

	before := f.Mirror.State()

	changed, err := f.Mesh.TakeAnswer(c, began)
	if err != nil {
		f.handleFailure(err)

		return
	}

	f.needsList = false
	f.logUnreadable(&c)
	f.restoreLost(ctx, now)

	if len(c.Items) == 0 {
		f.writeFleet(ctx, now)

		return
	}

	f.Log.Info("Received changes from the store.", "era", c.Era, "index", c.Index, "copy", before.Index, "whole", c.Full,
		"keys", len(c.Items), "changed", changed, "kept", f.Mirror.State().Kept, "held", f.Mirror.HoldRemaining(now).String())
	carobward.Sleep(ctx, batchDelay)
}

// logUnreadable logs that items of an answer were left out, once until a list has none.
func (f *Follower) logUnreadable(c *carobward.Changes) {
	if c.Unreadable > 0 && !f.unreadable {
		f.Log.Info("Items of the store can't be decoded and are left out.", "items", c.Unreadable, "index", c.Index)
	}

	f.unreadable = c.Unreadable > 0 || f.unreadable && !c.Full
}
