package cwfront

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwhold"
)

// held counts the requests that wait for the configuration, servers or keys that the entry VM
// lacks right after its start. The decisions are those of cwhold.
type held struct {
	mutex sync.Mutex
	load  cwhold.Load
	// changed is closed when something that requests wait for has arrived.
	changed chan struct{}
}

func newHeld() *held { return &held{changed: make(chan struct{})} }

// StartChanged lets the requests that are held be decided on again.
func (f *Front) StartChanged() {
	f.held.mutex.Lock()
	defer f.held.mutex.Unlock()

	close(f.held.changed)
	f.held.changed = make(chan struct{})
}

// nextChange returns the channel that is closed at the next change.
func (h *held) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	return h.changed
}

// decide decides on a request. One that is to be held from now on is counted.
func (h *held) decide(r *cwhold.Request, s cwhold.Start, counted bool) cwhold.Decision {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	d := cwhold.Decide(*r, s, h.load)
	if d.Action == cwhold.Wait && !counted {
		h.load.Requests++
		h.load.Bytes += r.Size
	}

	return d
}

// release takes a request that was held out of the count.
func (h *held) release(size carobward.ByteCount) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.load.Requests--
	h.load.Bytes -= size
}

// awaitStart holds a request while it lacks something that the start will bring: with keyed
// set, the keys in force, otherwise the configuration and the list of servers. It reports
// whether the request was held, and returns the failure of one that is refused.
func (r *request) awaitStart(ctx *fasthttp.RequestCtx, keyed bool, cause error) (bool, error) {
	f := r.front
	if f.Startup(f.Clock.Now()).Complete(keyed) {
		return false, nil
	}

	hold := r.newHold(ctx, keyed)

	d, changed := r.decideHold(&hold, false)
	if d.Action != cwhold.Wait {
		return false, refusal(d, cause)
	}

	f.counts.Add(countHeld, 1)
	defer f.held.release(hold.Size)

	work, done := f.disconnects.Watch(context.Background(), ctx.Conn())
	defer done()

	for d.Action == cwhold.Wait {
		if err := awaitChange(work, changed, d.For); err != nil {
			return true, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, err)
		}

		d, changed = r.decideHold(&hold, true)
	}

	r.held = true
	f.Log.Info("A request was held during the start.", "id", r.id, "keyed", keyed, "since", hold.Passed.Milliseconds(), "waits", hold.Waits.Milliseconds(), "served", d.Action == cwhold.Serve)

	return true, refusal(d, cause)
}

// newHold returns what the decision on a request that may be held depends on.
func (r *request) newHold(ctx *fasthttp.RequestCtx, keyed bool) cwhold.Request {
	hold := cwhold.Request{
		Keyed: keyed, Holding: r.held, Waits: r.callerTime(ctx),
		Size: carobward.ByteCount(len(ctx.Request.Header.RawHeaders()) + r.body.Len()),
	}

	if keyed {
		hold.Objective = r.route.Objective
		hold.Usual = r.front.serviceState(r.route.Shares[0].Service).responseTime(r.route.Objective)
	}

	return hold
}

// decideHold decides on a request now. Counted is set if it is held already. It also returns
// the channel that is closed at the next change of what the decision depends on.
func (r *request) decideHold(hold *cwhold.Request, counted bool) (cwhold.Decision, <-chan struct{}) {
	f := r.front
	// Taken first, so that no change is missed.
	changed := f.held.nextChange()
	now := f.Clock.Now()
	hold.Passed = now.Sub(r.arrived)
	hold.Holding = hold.Holding || counted
	start := f.Startup(now)

	if f.stopping() && !start.Complete(hold.Keyed) { // What it lacks may not come any more.
		return cwhold.Decision{Action: cwhold.Refuse, For: f.retryAfterStop()}, changed
	}

	return f.held.decide(hold, start, counted), changed
}

// ownersDelay is the time until the owners of a team's tokens are asked again while the entry VMs
// start: some of them get their copy of the store in that time.
const ownersDelay = 100 * time.Millisecond

// awaitOwners holds a request for which no owner of its team's tokens has answered, and reports
// whether to ask them again. Right after this entry VM's start they may be starting, too.
func (r *request) awaitOwners(ctx context.Context) bool {
	f := r.front
	now := f.Clock.Now()
	hold := cwhold.Request{
		Keyed: true, Holding: r.held, Passed: now.Sub(r.arrived), Waits: r.callerWait, Objective: r.route.Objective, Usual: r.usualTime(),
		Size: carobward.ByteCount(r.call.Body.Len()),
	}

	if f.stopping() {
		return false
	}

	d := f.held.decide(&hold, cwhold.Start{Age: f.Startup(now).Age, Configured: true, Keys: ownersDelay}, false)
	if d.Action != cwhold.Wait {
		return false
	}

	defer f.held.release(hold.Size)

	if !r.held {
		f.counts.Add(countHeld, 1)
	}

	r.held = true

	carobward.Sleep(ctx, d.For)

	// The search for a server begins only now.
	r.schedule.Arrived = f.Clock.Now()

	return ctx.Err() == nil
}

// refusal returns the failure of a request that is refused, or nil.
func refusal(d cwhold.Decision, cause error) error {
	if d.Action != cwhold.Refuse {
		return nil
	}

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, d.For, cause)
}

// awaitChange waits for a change, or for a time. It returns an error if the caller has gone.
func awaitChange(work context.Context, changed <-chan struct{}, most time.Duration) error {
	timer := time.NewTimer(most)
	defer timer.Stop()

	select {
	case <-changed:
	case <-timer.C:
	case <-work.Done():
		return errors.Trace(ErrCallerGone)
	}

	return nil
}

// callerTime returns how long the caller waits, or 0 if it does not say.
func (r *request) callerTime(ctx *fasthttp.RequestCtx) time.Duration {
	left, ok, err := r.front.Dialect.TimeLeft(func(name string) string { return string(ctx.Request.Header.Peek(name)) })
	if err != nil || !ok {
		return 0
	}

	return left
}
