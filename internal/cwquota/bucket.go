package cwquota

import (
	"time"

	"golang.org/x/time/rate"

	"carobward.example/carobward"
)

// Grant grants tokens of a team if this entry VM owns a bucket of it.
func (l *Limiter) Grant(name carobward.TeamName, want int) Grant {
	now := l.Clock.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return Grant{}
	}

	f := l.Fleet(now)

	s, owner := l.updateBucket(t, &f, now)
	if !owner {
		return Grant{}
	}

	n := min(want, int(t.bucket.TokensAt(now)))
	if n <= 0 || !t.bucket.AllowN(now, n) {
		return Grant{Owner: true, Wait: t.countRefusal(&s, now)}
	}

	return Grant{Owner: true, Tokens: n}
}

// adjustBucket adjusts the bucket to its share of the quota. A new bucket holds a single
// token: its previous owner may have granted what the team is entitled to.
func (t *team) adjustBucket(s *share, now time.Time) {
	limit, burst := rate.Limit(s.rate), int(s.burst)

	if t.bucket == nil {
		t.bucket = rate.NewLimiter(limit, burst)
		t.bucket.AllowN(now, burst-1)
	}

	if t.bucket.Limit() != limit {
		t.bucket.SetLimitAt(now, limit)
	}

	if t.bucket.Burst() != burst {
		t.bucket.SetBurstAt(now, burst)
	}
}

// countRefusal counts a refusal and returns the retry delay of its caller, which allows for
// the tokens of all others that were refused within the last second.
func (t *team) countRefusal(s *share, now time.Time) time.Duration {
	if now.Sub(t.refusedSince) >= time.Second {
		t.refused, t.refusedSince = 0, now
	}

	t.refused++

	return max(minRetryDelay, time.Duration(float64(t.refused)/s.rate*float64(time.Second)))
}
