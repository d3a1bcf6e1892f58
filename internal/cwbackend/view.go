package cwbackend

import (
	"time"

	"carobward.example/carobward"
)

// View is what the choice of a server sees of one.
type View struct {
	Server *Server
	// Leaving tells that it takes no new work.
	Leaving bool
	// Blocked tells that it failed lately.
	Blocked bool
	// Failing tells that it has not answered a request since it failed.
	Failing bool
	// Spare tells that it is known for when near servers can't be used.
	Spare bool
	// Warming tells that it is cold, and slow for that.
	Warming bool
	// Limit is what it says of the requests a second that it takes from all entry VMs.
	Limit carobward.Limit
	// Barred tells that it gets no request of this entry VM before Open, since it is
	// cold, names a limit or wants a pause.
	Barred bool
	Open   time.Time
	// Slots is how many requests it runs at once.
	Slots int
	// Own is how many of our requests it has.
	Own int
	// Overdue tells that one of ours has been there for too long.
	Overdue bool
	// Trouble is the share of our requests that failed lately.
	Trouble float64
	// Domain is its failure domain, Address where it listens.
	Domain  carobward.Domain
	Address carobward.Address
	// Idle tells that there is an idle connection to it.
	Idle bool
	// Report is its last word on its load.
	Report carobward.Report
}

// SlotCount returns how many requests the server runs at once, by its last
// word or else by the list.
func (v *View) SlotCount() int {
	if v.Report.Slots > 0 {
		return v.Report.Slots
	}

	return max(1, v.Slots)
}

// Expected returns the load that the server is expected to have without a
// look: our own requests there, and its last word as far as it was more.
func (v *View) Expected() carobward.Report {
	r := v.Report
	r.Running = max(v.Own, r.Running)

	return r
}

// View returns what is known of the server. Usual is the usual time of a
// request.
func (s *Server) View(now time.Time, usual time.Duration) View {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	v := View{
		Server: s, Leaving: s.leaves(), Barred: now.Before(s.paused), Open: s.paused, Blocked: now.Before(s.blocked), Failing: s.failures > 0, Warming: now.Before(s.warm),
		Slots: max(1, s.backend.Slots), Own: len(s.out), Trouble: s.trouble, Domain: s.backend.Domain, Address: s.backend.Address, Report: s.report, Limit: s.limit.Limit,
	}

	for _, f := range s.out {
		if now.Sub(f.began) > overdueFactor*usual {
			v.Overdue = true
		}
	}

	return v
}

// Views returns what is known of the servers of a service that this entry VM
// sends to and that are not leaving. Usual is the usual time of a request.
//
// While over half of the near servers fail or may get nothing, further servers of other
// failure domains are among them, marked as spare. It answers the loss of all servers of
// a failure domain whose entry VMs still get callers: with knownFar alone these crowd on
// few servers, and refuse what others have room for. 0.896 of all requests are in time
// with it while that lasts, 0.886 without (carobward bench worst, pattern fallen, 17 entry
// VMs, twelve seeds).
func (t *Table) Views(service carobward.Service, now time.Time, usual time.Duration) []View {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	m := t.mine[service]
	if m == nil {
		return nil
	}

	views := make([]View, 0, len(m.near)+len(m.far))
	views = t.appendViews(views, m.near, now, usual)
	usable := 0

	for i := range views {
		if !views[i].Failing && !views[i].Barred {
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

// View returns what is known of one server, see Views.
func (t *Table) View(s *Server, now time.Time, usual time.Duration) View {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	return t.view(s, now, usual)
}

// view is View; the mutex is held.
func (t *Table) view(s *Server, now time.Time, usual time.Duration) View {
	v := s.View(now, usual)
	if !v.Warming && !v.Limit.Named {
		return v
	}

	b := s.Backend()
	l := t.allowances(s, &b, now)

	s.mutex.Lock()
	v.Open = s.open(&l)
	s.mutex.Unlock()

	v.Barred = now.Before(v.Open)

	return v
}

// Opens returns when the first of some servers may get a request, or the zero time where
// one of them may get one now, or there is none.
func Opens(views []View) time.Time {
	var first time.Time

	for i := range views {
		if !views[i].Barred {
			return time.Time{}
		}

		if i == 0 || views[i].Open.Before(first) {
			first = views[i].Open
		}
	}

	return first
}

// appendViews appends what is known of servers that are not leaving; the mutex is held.
func (t *Table) appendViews(to []View, list []*Server, now time.Time, usual time.Duration) []View {
	for _, s := range list {
		if v := t.view(s, now, usual); !v.Leaving {
			to = append(to, v)
		}
	}

	return to
}
