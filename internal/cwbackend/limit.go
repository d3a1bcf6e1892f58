package cwbackend

import (
	"cmp"
	"slices"
	"time"

	"carobward.example/carobward"
)

// An overloaded server announces how many requests a second it takes from all entry VMs
// together. This limit is divided among some entry VMs of the server's failure domain, see
// sharers: each of them may send a fixed number of requests in a window of time. The window is
// long enough that the limit allows limitOwners requests in it. The mean rate in each window is
// then below the limit, and few requests come at its start. All other entry VMs send nothing
// while the limit is known to hold, except for the checks of limitRecheck.

// The parameters of limits.
const (
	// limitOwners is the least number of entry VMs with a share of a limit, where that many
	// exist, so that the server stays in use when some of them have no callers or are lost.
	limitOwners = 4
	// limitRecheck is how long after the last announcement of a limit an entry VM without a
	// share sends the server a request to check it: the limit may have been lifted without an
	// announcement. In a fleet of three failure domains these checks add up to 0.1 requests a
	// second. For limits below one a second the time is longer in proportion, down to a limit
	// of minRecheckRate.
	limitRecheck   = 30 * time.Second
	minRecheckRate = 0.25
	// limitRecheckStep is the delay between the checks of entry VMs that follow each other in
	// the ranking by hash, so that the result of one reaches the others before their turn.
	limitRecheckStep = 2 * time.Second
	// minLimitRate and maxLimitRate are the range of rates that are divided. Less than about
	// one request in a quarter of an hour counts as zero; a server that takes more than the
	// entry VMs of a failure domain can carry needs no bound.
	minLimitRate = 0.001
	maxLimitRate = 100_000
)

// limit is the state of a server's limit as this entry VM knows it.
type limit struct {
	carobward.Limit

	// at is when the server last announced it, to any entry VM.
	at time.Time
	// ownAt is when the server last announced it to this entry VM, changedAt when it was last
	// set, changed or lifted.
	ownAt     time.Time
	changedAt time.Time
	// inHealth is set if the server's answers to health checks state the limit.
	inHealth bool
}

// MergeLimit merges an announcement of the server's limit and reports whether it changed the
// known limit. An unreadable value does not replace a known limit: the server still has one,
// but its new value is unknown.
func (s *Server) MergeLimit(w carobward.LimitAnnouncement, from Source) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	// An announcement from a peer may be about the previous process.
	if w.At.Before(s.replacedAt) {
		return false
	}

	return s.mergeLimit(w, from)
}

// mergeLimit merges an announcement of the limit. The mutex must be held.
func (s *Server) mergeLimit(w carobward.LimitAnnouncement, from Source) bool {
	changed := s.limit.merge(w, from)
	if changed || s.limit.Present {
		s.announcers.add(s)
	}

	return changed
}

func (l *limit) merge(w carobward.LimitAnnouncement, from Source) bool {
	if w.At.Before(l.at) || !l.isRelevant(w, from) {
		return false
	}

	l.at = w.At

	if from == ByHealthCheck {
		l.inHealth = w.Limit.Present
	}

	if from != ByPeer {
		l.ownAt = w.At
	}

	next := w.Limit
	if next.Present && !next.Readable && l.Readable {
		next = l.Limit
	}

	if next == l.Limit {
		return false
	}

	l.Limit, l.changedAt = next, w.At

	return true
}

// isRelevant reports whether an announcement says anything about the limit.
func (l *limit) isRelevant(w carobward.LimitAnnouncement, from Source) bool {
	switch {
	case w.Relayed && !l.at.IsZero():
		// Announcements relayed by third entry VMs would circulate without ever expiring. They
		// only count where no limit is known yet.
		return false
	case from == ByHealthCheck && !w.Limit.Present:
		// An answer to a health check that states no limit lifts the limit only if earlier
		// answers to health checks stated it.
		return l.inHealth
	default:
		return true
	}
}

// bound returns the number of requests that all entry VMs together may send to a server with
// this limit, and the window of time for that number.
func (l *limit) bound() (int, time.Duration) {
	rate := dividedShare * float64(l.Rate)
	if total := rate * minWindow.Seconds(); total >= limitOwners {
		return int(total), minWindow
	}

	return limitOwners, time.Duration(limitOwners / rate * float64(time.Second))
}

// limitAllowance returns this entry VM's share of a server's limit. The mutex must be held.
func (t *Table) limitAllowance(b *carobward.Backend, l *limit, now time.Time) allowance {
	if !l.Present || !l.Readable || l.Rate > maxLimitRate {
		return allowance{}
	}

	if l.Rate >= minLimitRate {
		total, window := l.bound()
		if part := t.share(b, total, min(total, t.holders(t.nearCounts[b.Service])), now); part > 0 {
			// The process before may have used its part of a window right before it ended.
			return allowance{maxRequests: part, window: window, from: t.sharers.since.Add(window)}
		}
	}

	recheck := time.Duration(float64(limitRecheck) / min(1, max(minRecheckRate, float64(l.Rate))))
	if place := t.placement.places[b.Instance]; place != nil {
		recheck += time.Duration(place.rank) * limitRecheckStep
	}

	return allowance{maxRequests: 1, window: recheck, from: l.at.Add(recheck)}
}

// MergeLimits merges the limits that other entry VMs received from servers. It returns those
// that were new.
func (t *Table) MergeLimits(list []carobward.LimitAnnouncement) []carobward.LimitAnnouncement {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var added []carobward.LimitAnnouncement

	for _, w := range list {
		if s := t.byInstance[w.Server]; s != nil && s.MergeLimit(w, ByPeer) {
			added = append(added, w)
		}
	}

	return added
}

// limits returns the limits that other entry VMs may lack: those that servers announced to
// this entry VM recently, or all that hold if the recipient is a new entry VM.
func limits(announcing map[carobward.Instance]*Server, now time.Time, newcomer bool) []carobward.LimitAnnouncement {
	var list []carobward.LimitAnnouncement

	for i, s := range announcing {
		s.mutex.Lock()
		l := s.limit
		s.mutex.Unlock()

		if recent := l.isRecent(now); recent || newcomer && l.Readable {
			list = append(list, carobward.LimitAnnouncement{Server: i, Limit: l.Limit, At: l.at, Relayed: !recent})
		}
	}

	return list
}

// isRecent reports whether the limit was recently announced to this entry VM by the server
// itself.
func (l *limit) isRecent(now time.Time) bool {
	recent := l.at.Equal(l.ownAt) && now.Sub(l.ownAt) < announceTime
	lifted := !l.Present && now.Sub(l.changedAt) < announceTime

	return recent && (l.Readable || lifted)
}

// Limited is a server that has announced a limit, as this entry VM knows it.
type Limited struct {
	carobward.LimitAnnouncement

	Service carobward.Service
	// Part is the number of requests that this entry VM may send it in any Window.
	Part   int
	Window time.Duration
}

// Limited returns the servers that have announced a limit, ordered by instance.
func (t *Table) Limited(now time.Time) []Limited {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var list []Limited

	for i, s := range t.byInstance {
		s.mutex.Lock()
		l, b := s.limit, s.backend
		s.mutex.Unlock()

		if l.Present {
			a := t.limitAllowance(&b, &l, now)
			list = append(list, Limited{carobward.LimitAnnouncement{Server: i, Limit: l.Limit, At: l.at}, b.Service, a.maxRequests, a.window})
		}
	}

	slices.SortFunc(list, func(a, b Limited) int { return cmp.Compare(a.Server, b.Server) })

	return list
}
