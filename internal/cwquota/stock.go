package cwquota

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// maxReturned is the maximum number of returned tokens that are kept for a team.
const maxReturned = 8

// stock holds the tokens of a team that were granted to this entry VM and are not used yet.
type stock struct {
	// prefetched is the number of tokens that were requested in advance. They may be used
	// until prefetchedUntil.
	prefetched      int
	prefetchedUntil time.Time
	// returned are tokens that were given back because their request got no server.
	returned []returnedToken
	// beyondUntil is until when none are requested in advance.
	beyondUntil time.Time
	// requests counts the team's requests in the period that began at periodStart,
	// lastRequests those in the period before.
	requests, lastRequests int
	periodStart            time.Time
}

// returnedToken is a token that was given back. Until a time it may be used by requests of the
// class that it was granted for or a more urgent one.
type returnedToken struct {
	class cwreserve.Class
	until time.Time
}

// takeFromStock uses a token that this entry VM holds, or returns how many to request and the
// entry VMs to request them from. It returns 0 if no token has to be requested.
func (l *Limiter) takeFromStock(name carobward.TeamName, c cwreserve.Class, now time.Time) (int, Fleet) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil || t.quota.Rate <= 0 {
		return 0, Fleet{}
	}

	s := &t.stock
	l.expired += int64(s.dropExpired(now))
	s.countRequest(now)

	if s.useReturned(c, now) || s.usePrefetched() {
		return 0, Fleet{}
	}

	if now.Before(s.beyondUntil) {
		return 1, l.Fleet(now)
	}

	return 1 + s.lastRequests, l.Fleet(now)
}

// usePrefetched uses a token that was requested in advance if there is one.
func (s *stock) usePrefetched() bool {
	if s.prefetched == 0 {
		return false
	}

	s.prefetched--

	return true
}

// dropExpired drops the tokens that were requested in advance and not used in time, and returns
// their number.
func (s *stock) dropExpired(now time.Time) int {
	if now.Before(s.prefetchedUntil) {
		return 0
	}

	n := s.prefetched
	s.prefetched = 0

	return n
}

// useReturned uses a returned token if there is one for the class, and drops those that are
// too old.
func (s *stock) useReturned(c cwreserve.Class, now time.Time) bool {
	kept, used := s.returned[:0], false

	for _, r := range s.returned {
		switch {
		case !now.Before(r.until):
		case !used && c <= r.class:
			used = true
		default:
			kept = append(kept, r)
		}
	}

	s.returned = kept

	return used
}

// countRequest counts a request. The number of tokens to request in advance for a period is
// the number of requests in the period before.
func (s *stock) countRequest(now time.Time) {
	if past := now.Sub(s.periodStart); past >= prefetchTime {
		s.lastRequests = 0
		if past < 2*prefetchTime {
			s.lastRequests = s.requests
		}

		s.requests, s.periodStart = 0, now
	}

	s.requests++
}

// noteGrant keeps the tokens that were granted beyond the one needed, and whether the team is
// beyond its quota.
func (l *Limiter) noteGrant(name carobward.TeamName, g *Grant, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return
	}

	if g.Tokens > 1 {
		l.expired += int64(t.stock.prefetched)
		t.stock.prefetched, t.stock.prefetchedUntil = g.Tokens-1, now.Add(prefetchTime)
	}

	if g.Beyond {
		t.stock.beyondUntil = now.Add(beyondTime)
	}
}

// GiveBack returns the token, granted at a given time, of a request that has not run. For a
// short time, requests of its class or a more urgent one may use it at this entry VM.
func (l *Limiter) GiveBack(name carobward.TeamName, c cwreserve.Class, granted time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	until := granted.Add(maxReturnAge)

	t := l.teams[name]
	if t == nil || t.quota.Rate <= 0 || len(t.stock.returned) >= maxReturned || !l.Clock.Now().Before(until) {
		return
	}

	l.returned++
	t.stock.returned = append(t.stock.returned, returnedToken{class: c, until: until})
}
