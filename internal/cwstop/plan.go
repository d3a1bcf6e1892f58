// Package cwstop decides what a stopping entry VM still does: how long it accepts connections,
// which requests it still sends to servers, and how long it waits for their answers. It has no
// side effects.
//
// A request is cut if it is at a server when the process ends, and its caller can't tell whether it
// ran. A request that is refused has not run, and other entry VMs serve it. So requests are refused as
// soon as their answer may come too late, and what is sent to servers ends before the process does.
package cwstop

import "time"

// The steps of a stop, as shares of the grace period.
const (
	// acceptShare is for how long connections are accepted: callers keep using earlier lookup
	// replies.
	acceptShare = 0.7
	// workShare is when servers stop working on the last requests. The answers need the time from
	// then on to reach the callers.
	workShare = 0.9
	// endShare is when the process ends in any case. It needs the rest to exit before it is
	// killed.
	endShare = 0.93
)

// minExpectedTimes is how many times the expected response time must be left for a request whose time
// limit lies behind the end of the process. Few responses take longer.
const minExpectedTimes = 1.5

// Plan has the times of a stop. The zero value is not a plan.
type Plan struct {
	// Accept is until when connections are accepted, Work until when servers work on requests, and
	// End when the process ends at the latest.
	Accept, Work, End time.Time
}

// New returns the plan of a stop that begins now.
func New(now time.Time, grace time.Duration) Plan {
	return Plan{Accept: now.Add(AcceptTime(grace)), Work: now.Add(part(workShare, grace)), End: now.Add(part(endShare, grace))}
}

// AcceptTime returns for how long a stopping entry VM accepts connections.
func AcceptTime(grace time.Duration) time.Duration { return part(acceptShare, grace) }

func part(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

// Takes reports whether a request may be sent to a server now: its time limit or, most likely, its
// answer comes before servers stop working. Expected is the time that such an answer takes.
func (p *Plan) Takes(now, deadline time.Time, expected time.Duration) bool {
	return !deadline.After(p.Work) || !now.Add(part(minExpectedTimes, expected)).After(p.Work)
}

// Limit returns the time limit that a server gets for a request with a deadline: the answer to work
// that ends later would not reach the caller.
func (p *Plan) Limit(deadline time.Time) time.Time {
	if deadline.After(p.Work) {
		return p.Work
	}

	return deadline
}
