package cwbench

import (
	"time"

	"carobward.example/carobward/internal/cwhold"
)

// Parameters of the start of entry VMs.
const (
	// copySpread is the spread of the times of a copy around their mean.
	copySpread = 0.5
	// requestSize is the memory of a held request in bytes.
	requestSize = 700
	// impatientRetryAfter is when a caller may retry that is refused for a missing copy, with
	// the way "impatient".
	impatientRetryAfter = 200 * time.Millisecond
)

// startAfter draws when the entry VM starts, after the given time, and has its copy.
func (v *replayVM) startAfter(at time.Duration) {
	p := v.run.pattern
	if p.CopyTime == 0 {
		return
	}

	v.started = at + time.Duration(v.run.rng.Float64()*float64(p.StartSpread))
	v.copied = v.started + time.Duration((1+copySpread*(2*v.run.rng.Float64()-1))*float64(p.CopyTime))
	v.run.timeline.add(v.copied, v.serveHeld)
}

// acceptEarly handles a request of a caller that arrives before the copy.
func (v *replayVM) acceptEarly(r *replayRequest) {
	w := v.run

	if w.way.NoHold {
		w.refuse(r, impatientRetryAfter)

		return
	}

	d := cwhold.Decide(cwhold.Request{Waits: r.until.Sub(w.now()), Size: requestSize}, cwhold.Start{Age: w.timeline.now - v.started}, v.load)
	if d.Action == cwhold.Refuse {
		w.refuse(r, d.For)

		return
	}

	v.load.Requests++
	v.load.Bytes += requestSize
	r.heldSince = w.now()
	v.held = append(v.held, r)
}

// serveHeld goes on with the held requests once the copy is there.
func (v *replayVM) serveHeld() {
	for _, r := range v.held {
		if !r.done {
			v.accept(r)
		}
	}

	v.held, v.load = nil, cwhold.Load{}
}
