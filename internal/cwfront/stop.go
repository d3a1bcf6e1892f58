package cwfront

import (
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwstop"
)

// When callers that a stopping entry VM refuses may retry.
const (
	// otherVMRetryAfter is for a caller that can use another entry VM: only long enough that its next
	// connection doesn't come here.
	otherVMRetryAfter = 50 * time.Millisecond
	// restartTime is how long after the end of this process its successor most likely serves. Callers
	// that know no other entry VM wait for that.
	restartTime = time.Second
)

// Stop begins to stop. From now on each answer is the last one on its connection, and a request is
// refused if its answer may come too late.
func (f *Front) Stop(p cwstop.Plan) {
	f.plan.Store(&p)
	f.StartChanged() // Requests that are held for the start are refused.
}

func (f *Front) stopping() bool { return f.plan.Load() != nil }

// CloseConns closes the connections of callers and of peers in a phase, now and from now on.
func (f *Front) CloseConns(p cwconn.Phase) {
	f.conns.Close(p)
	f.relayConns.Close(p)
}

// Conns returns the numbers of callers' connections and of those of peers that pass requests on.
func (f *Front) Conns() (callers, peers cwconn.Counts) {
	return f.conns.Counts(), f.relayConns.Counts()
}

// Displaced returns how many connections of callers and peers were closed because others took their places.
func (f *Front) Displaced() int64 { return f.conns.Displaced() + f.relayConns.Displaced() }

// maxCutLines bounds the log lines about requests that the end of the process cuts.
const maxCutLines = 100

// LogCut logs the requests that are still in progress when the process ends.
func (f *Front) LogCut(now time.Time) {
	list := append(f.conns.Requests(), f.relayConns.Requests()...)

	for _, r := range list[:min(maxCutLines, len(list))] {
		f.Log.Info("A request is cut by the end of the process.", "id", r.ID, "age", now.Sub(r.Read).Milliseconds())
	}
}

// endsTooEarly reports whether this entry VM is stopping and an answer of a server that gets the request
// now may come too late. Expected is the time that the answer takes.
func (r *request) endsTooEarly(expected time.Duration) bool {
	p := r.front.plan.Load()

	return p != nil && !p.Takes(r.front.Clock.Now(), r.deadline, expected)
}

// refuseStopping returns the failure of a request that this entry VM may not send any more because it
// is stopping, or nil.
func (r *request) refuseStopping(expected time.Duration) error {
	if !r.endsTooEarly(expected) {
		return nil
	}

	r.front.counts.Add(countStopping, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, r.front.retryAfterStop(), ErrStopping)
}

// retryAfterStop returns when a caller may retry that is refused because of the stop.
func (f *Front) retryAfterStop() time.Duration {
	if f.OthersReady() {
		return otherVMRetryAfter
	}

	return max(0, f.plan.Load().End.Sub(f.Clock.Now())) + restartTime
}

// workLimit returns when a server that gets the request now is to stop working on it.
func (r *request) workLimit() time.Time {
	if p := r.front.plan.Load(); p != nil {
		return p.Limit(r.deadline)
	}

	return r.deadline
}
