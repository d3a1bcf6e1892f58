// Package cwhold decides what becomes of a request that reaches an entry VM right after its
// start, before the entry VM has what it needs to serve: it is held until that has come, or
// refused at once with a time to retry. It has no side effects.
//
// It is for the start of all entry VMs at once, after a loss of power or a crash of all processes.
// Callers connect at once, while the copy of the store takes some tenths of a second. A
// caller that is refused then returns later, mostly too late to be answered in time; one
// that waits for the copy is often in time.
package cwhold

import (
	"time"

	"carobward.example/carobward"
)

// The limits of holding.
const (
	// usualCopyTime is how long after its start an entry VM usually has its copy of the
	// store: a call or two, and the transfer of some hundred kilobytes over a slow link.
	usualCopyTime = 200 * time.Millisecond
	// elsewhereTime is when a caller may retry that can't wait for the configuration: its
	// next connection mostly reaches another entry VM, which may have started earlier.
	elsewhereTime = 100 * time.Millisecond
	// MaxStartTime is the time after the start during which requests are held. An entry VM
	// without a copy by then can't reach the store or its peers, for an unknown time.
	MaxStartTime = time.Second
	// blindShare is the share of the time that a caller waits for which its request is held
	// without a configuration, which would say when its answer is due. Callers wait several
	// times as long as they want to, and the answer itself takes its part.
	blindShare = 1.0 / 8
	// blindWait is the same for a caller that does not say how long it waits.
	blindWait = 150 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 50 * time.Millisecond
	// maxRequests and maxBytes bound the requests that are held at once, and the memory of
	// their headers and bodies.
	maxRequests = 256
	maxBytes    = 4 * carobward.Megabyte
)

// Start is the state of an entry VM's start.
type Start struct {
	// Age is the time since the start.
	Age time.Duration
	// Configured reports whether the configuration and the list of servers are there.
	Configured bool
	// Keys is how long it takes until the keys in force can be known; at most zero if they
	// are, or if that is not a matter of the start.
	Keys time.Duration
}

// Request is a request that needs more than is there.
type Request struct {
	// Keyed is set if the request needs an API key. That is known only with the
	// configuration.
	Keyed bool
	// Holding is set if it is held already; Passed is the time since it arrived.
	Holding bool
	Passed  time.Duration
	// Waits is how long its caller waited when it arrived, or 0 if that is not known.
	Waits time.Duration
	// Objective is when the answer is due after the arrival, and Usual the usual response
	// time; both 0 without a configuration.
	Objective, Usual time.Duration
	// Size is the memory of the request.
	Size carobward.ByteCount
}

// Load is what an entry VM holds already.
type Load struct {
	Requests int
	Bytes    carobward.ByteCount
}

// fits reports whether one more request may be held.
func (l Load) fits(size carobward.ByteCount) bool {
	return l.Requests < maxRequests && l.Bytes+size <= maxBytes
}

// Action is what becomes of a request.
type Action int

const (
	// Serve goes on with the request: nothing that the start brings is missing. It may still
	// be refused for another reason.
	Serve Action = iota
	// Wait holds the request.
	Wait
	// Refuse refuses the request; it has not been sent.
	Refuse
)

// Decision is what becomes of a request, and for how long.
type Decision struct {
	Action Action
	// For is the time after which a held request is decided on again at the latest, or after
	// which the caller of a refused one may retry.
	For time.Duration
}

// Decide returns what becomes of a request. A request is held if its answer can be in time
// once what it lacks is there. One that is held already is refused only if the start takes too
// long or its caller gives up: a late refusal costs its caller more than a late answer.
func Decide(r Request, s Start, l Load) Decision {
	left := s.remaining(r.Keyed)

	switch {
	case s.Complete(r.Keyed):
		return Decision{Action: Serve}
	case s.Age >= MaxStartTime, r.Waits > 0 && r.Passed >= r.Waits:
		return Decision{Refuse, s.retryAfter(left)}
	case r.Holding:
		return Decision{Wait, max(minRetryAfter, left)}
	case left > r.patience() || !l.fits(r.Size):
		return Decision{Refuse, s.retryAfter(left)}
	default:
		return Decision{Wait, max(minRetryAfter, left)}
	}
}

// Complete reports whether the start has brought all that a request needs.
func (s Start) Complete(keyed bool) bool { return s.Configured && (!keyed || s.Keys <= 0) }

// remaining returns how long the start will probably still take.
func (s Start) remaining(keyed bool) time.Duration {
	if !s.Configured {
		return max(0, usualCopyTime-s.Age)
	}

	if keyed {
		return max(0, s.Keys)
	}

	return 0
}

// retryAfter returns when a refused caller may retry.
func (s Start) retryAfter(left time.Duration) time.Duration {
	if !s.Configured {
		left = min(left, elsewhereTime)
	}

	return max(minRetryAfter, left)
}

// patience returns how long a request can be held so that its answer is probably in time.
func (r *Request) patience() time.Duration {
	switch {
	case r.Objective > 0:
		return r.Objective - r.Usual
	case r.Waits > 0:
		return time.Duration(blindShare * float64(r.Waits))
	default:
		return blindWait
	}
}

// minNamed is how many entry VMs at least are named while none is ready: with fewer all
// callers would meet at the first ones that start.
const minNamed = 4

// NamesStarting reports whether callers that look up addresses are told of entry VMs that are
// still starting, which hold requests. It is so while most of the fleet starts: the few that are
// ready first would get all callers, and callers that get no address ask elsewhere for seconds.
// Age is the time since the start of the entry VM that answers; ready and starting are how many
// entry VMs of its failure domain it knows of each kind.
func NamesStarting(age time.Duration, ready, starting int) bool {
	return age < MaxStartTime && starting > ready && ready+starting >= minNamed
}
