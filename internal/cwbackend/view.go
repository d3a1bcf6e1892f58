package cwbackend

import (
	"time"

	"carobward.example/carobward"
)

// View is the state of a server that the choice between servers uses.
type View struct {
	Server *Server
	// Leaving is set if the server takes no new work.
	Leaving bool
	// Blocked is set for some time after a failure or a refusal.
	Blocked bool
	// Failing is set from a failure until the next successful request.
	Failing bool
	// Spare is set if the server is only used while near servers are not usable.
	Spare bool
	// Warming is set if the server is warming up, and slow because of that.
	Warming bool
	// Limit is the request rate that the server announced as its limit for all entry VMs
	// together.
	Limit carobward.Limit
	// Throttled is set if this entry VM may not send the server a request before
	// ThrottledUntil, because it is warming up, has a limit or asked for a pause.
	Throttled      bool
	ThrottledUntil time.Time
	// Slots is the number of requests that it runs at once, by its entry.
	Slots int
	// InFlight is the number of requests that this entry VM has in flight at the server.
	InFlight int
	// Overdue is set if one of these requests has been in flight for too long.
	Overdue bool
	// FailureRate is the moving average of the share of requests that failed, or were refused
	// by a server without a free slot.
	FailureRate float64
	// RefusalRate is that of the share of requests that were refused although the server had
	// room.
	RefusalRate float64
	// Domain is its failure domain, Address where it listens.
	Domain  carobward.Domain
	Address carobward.Address
	// Idle is set if there is an idle connection to the server, InUse if there are connections
	// and none of them is idle.
	Idle, InUse bool
	// Report is its latest load report.
	Report carobward.Report
}

// SlotCount returns how many requests the server runs at once, by its latest report or else by
// its entry.
func (v *View) SlotCount() int {
	if v.Report.Slots > 0 {
		return v.Report.Slots
	}

	return max(1, v.Slots)
}

// Expected returns the assumed load of a server without a health check: its latest report,
// with at least the requests that this entry VM has in flight there.
func (v *View) Expected() carobward.Report {
	r := v.Report
	r.Running = max(v.InFlight, r.Running)

	return r
}

// View returns the state of the server. Usual is the usual response time.
func (s *Server) View(now time.Time, usual time.Duration) View {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	v := View{
		Server: s, Leaving: s.isLeaving(), Throttled: now.Before(s.pausedUntil), ThrottledUntil: s.pausedUntil, Blocked: now.Before(s.blockedUntil), Failing: s.failures > 0, Warming: now.Before(s.warmedUpAt()),
		Slots: max(1, s.backend.Slots), InFlight: len(s.inFlight), FailureRate: s.failureRate, RefusalRate: s.refusals.value(now), Domain: s.backend.Domain, Address: s.backend.Address, Report: s.report, Limit: s.limit.Limit,
	}

	for _, f := range s.inFlight {
		if now.Sub(f.began) > overdueFactor*usual {
			v.Overdue = true
		}
	}

	return v
}

// Views returns the servers of a service that are in this entry VM's subset and not leaving.
// Usual is the usual response time.
//
// While over half of the near servers fail or may not get requests, the spare servers of other
// failure domains are included. This handles the loss of all servers of a failure domain whose
// entry VMs still receive callers: with subsetFar servers alone, these requests concentrate on
// few servers and are refused while others have free slots.
func (t *Table) Views(service carobward.Service, now time.Time, usual time.Duration) []View {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	m := t.subsets[service]
	if m == nil {
		return nil
	}

	views := make([]View, 0, len(m.near)+len(m.far))
	views = t.appendViews(views, m.near, now, usual)
	usable := 0

	for i := range views {
		if !views[i].Failing && !views[i].Throttled {
			usable++
		}
	}

	views = t.appendViews(views, m.far, now, usual)

	if len(m.near) > 0 && usable < (len(m.near)+1)/2 {
		first := len(views)
		views = t.appendViews(views, m.spare, now, usual)

		for i := first; i < len(views); i++ {
			views[i].Spare = true
		}
	}

	return views
}

// View returns the state of one server, see Views.
func (t *Table) View(s *Server, now time.Time, usual time.Duration) View {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.view(s, now, usual)
}

// view is View with the mutex held.
func (t *Table) view(s *Server, now time.Time, usual time.Duration) View {
	v := s.View(now, usual)
	if !v.Warming && !v.Limit.Present {
		return v
	}

	b := s.Backend()
	l := t.allowances(s, &b, now)

	s.mutex.Lock()
	v.ThrottledUntil = s.availableAt(&l)
	s.mutex.Unlock()

	v.Throttled = now.Before(v.ThrottledUntil)

	return v
}

// NextAvailable returns the earliest time at which one of the servers may get a request, or
// the zero time if one may now or the list is empty.
func NextAvailable(views []View) time.Time {
	var first time.Time

	for i := range views {
		if !views[i].Throttled {
			return time.Time{}
		}

		if i == 0 || views[i].ThrottledUntil.Before(first) {
			first = views[i].ThrottledUntil
		}
	}

	return first
}

// appendViews appends the state of the servers that are not leaving. The mutex must be held.
func (t *Table) appendViews(to []View, list []*Server, now time.Time, usual time.Duration) []View {
	for _, s := range list {
		if v := t.view(s, now, usual); !v.Leaving {
			to = append(to, v)
		}
	}

	return to
}
