package cwmetric

import (
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
)

// NoTarget is the name under which requests without a target are counted. No target can
// have it.
const NoTarget carobward.TargetName = "-"

// HTTP status classes, by the first digit of the status.
const (
	classes      = 6
	classStep    = 100
	verdictCount = int(carobward.Ran) + 1
)

// Requests counts the callers' requests by target. A nil Requests counts nothing.
type Requests struct {
	mutex    sync.RWMutex
	byTarget map[carobward.TargetName]*Target
}

func newRequests() *Requests {
	return &Requests{byTarget: map[carobward.TargetName]*Target{}}
}

// Target counts the requests of one target.
type Target struct {
	counts  [verdictCount][classes]atomic.Int64
	latency Histogram
}

// Target returns the counts of a target and creates them if necessary. The name must be one
// of the configuration or NoTarget.
func (r *Requests) Target(name carobward.TargetName) *Target {
	if r == nil {
		return nil
	}

	r.mutex.RLock()
	t := r.byTarget[name]
	r.mutex.RUnlock()

	if t != nil {
		return t
	}

	r.mutex.Lock()
	defer r.mutex.Unlock()

	if t = r.byTarget[name]; t == nil {
		t = &Target{}
		r.byTarget[name] = t
	}

	return t
}

// Keep drops the targets for which known returns false, so that memory use depends on the
// current configuration only.
func (r *Requests) Keep(known func(carobward.TargetName) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for name := range r.byTarget {
		if name != NoTarget && !known(name) {
			delete(r.byTarget, name)
		}
	}
}

// Done counts a request that was answered with a verdict and an HTTP status after some
// time.
func (t *Target) Done(v carobward.Verdict, status int, took time.Duration) {
	if t == nil {
		return
	}

	class := status / classStep
	if class < 0 || class >= classes {
		class = 0
	}

	t.counts[min(int(v), verdictCount-1)][class].Add(1)
	t.latency.Add(took)
}

// String returns the counts as JSON: by verdict and status class, and the latencies.
func (t *Target) String() string {
	out := map[string]any{"latency": json.RawMessage(t.latency.String())}

	for v := range t.counts {
		byClass := map[string]int64{}

		for c := range t.counts[v] {
			if n := t.counts[v][c].Load(); n > 0 {
				byClass[strconv.Itoa(c)+"xx"] = n
			}
		}

		if len(byClass) > 0 {
			out[carobward.Verdict(v).String()] = byClass
		}
	}

	return encode(out)
}

// String returns the counts of all targets as JSON.
func (r *Requests) String() string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()

	out := map[carobward.TargetName]json.RawMessage{}
	for name, t := range r.byTarget {
		out[name] = json.RawMessage(t.String())
	}

	return encode(out)
}

func encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return "null"
	}

	return string(raw)
}
