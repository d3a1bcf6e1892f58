package cwquota

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// Grant grants tokens of a team if this entry VM owns a bucket of it.
func (l *Limiter) Grant(name carobward.TeamName, a *cwreserve.Ask) Grant {
	now := l.Clock.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return Grant{}
	}

	f := l.Fleet(now)
	if !l.updateBucket(t, &f, now) {
		return Grant{}
	}

	n, wait := t.bucket.Take(a, now)
	t.answered.add(a.Class, n)
	l.answered.add(a.Class, n)

	return Grant{Owner: true, Tokens: n, Wait: wait, Beyond: t.bucket.Beyond(now)}
}

// adjustBucket adjusts the bucket to its share of the quota. A new bucket holds a single
// token: its previous owner may have granted what the team is entitled to.
func (t *team) adjustBucket(s *share, now time.Time) {
	if t.bucket == nil {
		t.bucket = cwreserve.NewBucket(s.rate, s.burst, 1, now)

		return
	}

	t.bucket.Adjust(s.rate, s.burst, now)
}
