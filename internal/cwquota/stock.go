package cwquota

import (
	"time"

	"carobward.example/carobward"
)

// usePrefetched uses a token that was requested in advance, or returns how many to request
// and the entry VMs to request them from. It returns 0 if no token has to be requested.
func (l *Limiter) usePrefetched(name carobward.TeamName, now time.Time) (int, Fleet) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil || t.quota.Rate <= 0 {
		return 0, Fleet{}
	}

	t.countRequest(now)

	if t.prefetched > 0 && now.Before(t.prefetchedUntil) {
		t.prefetched--

		return 0, Fleet{}
	}

	return 1 + t.lastRequests, l.Fleet(now)
}

// countRequest counts a request. The number of tokens to request in advance for a period is
// the number of requests in the period before.
func (t *team) countRequest(now time.Time) {
	if past := now.Sub(t.periodStart); past >= prefetchTime {
		t.lastRequests = 0
		if past < 2*prefetchTime {
			t.lastRequests = t.requests
		}

		t.requests, t.periodStart = 0, now
	}

	t.requests++
}

// storePrefetched keeps the tokens that were granted beyond the one needed.
func (l *Limiter) storePrefetched(name carobward.TeamName, tokens int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if t := l.teams[name]; t != nil && tokens > 0 {
		t.prefetched, t.prefetchedUntil = tokens, now.Add(prefetchTime)
	}
}
