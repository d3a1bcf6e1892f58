package cwbackend

import (
	"math"
	"time"

	"carobward.example/carobward"
)

// The parameters of the share of requests that a server refuses although it has room.
const (
	// refusalWeight is the weight of one request. It is low, so that among servers which all
	// refuse half of their requests chance doesn't make some look much worse.
	refusalWeight = 0.1
	// refusalHalfLife is the time in which the share halves without requests. A server that
	// is avoided gets another chance in a few seconds.
	refusalHalfLife = 2 * time.Second
)

// OutcomeOfRefusal returns the outcome of a request that a server did not run, by the load
// report that came with the refusal. It tells apart a server that refuses a part of all requests
// whatever its load, where the next request has the same chance at once, from one without a free
// slot, which needs a pause. A refusal without a report may be due to load.
func OutcomeOfRefusal(r *carobward.Report, slots int) Outcome {
	if r.At.IsZero() || r.Running+r.Queued >= slots {
		return Refused
	}

	return RefusedWithRoom
}

// refusals is a moving average of the share of requests that a server refused although it had
// room.
type refusals struct {
	share float64
	at    time.Time
}

// add adds one request.
func (r *refusals) add(now time.Time, refused bool) {
	r.share, r.at = r.value(now), now
	r.share -= refusalWeight * r.share

	if refused {
		r.share += refusalWeight
	}
}

// value returns the average at a time.
func (r *refusals) value(now time.Time) float64 {
	if r.share == 0 {
		return 0
	}

	return r.share * math.Exp2(-float64(now.Sub(r.at))/float64(refusalHalfLife))
}
