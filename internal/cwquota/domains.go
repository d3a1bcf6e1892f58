package cwquota

import (
	"context"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
)

// takeFromOtherDomain takes a token from another failure domain.
func (l *Limiter) takeFromOtherDomain(ctx context.Context, name carobward.TeamName, f *Fleet, now time.Time) bool {
	for _, i := range rand.Perm(len(f.Domains)) {
		d := f.Domains[i]
		if l.inBackoff(name, d, now) {
			continue
		}

		ctx, cancel := context.WithTimeout(ctx, domainTimeout)
		g, err := l.AskDomain(ctx, d, name, 1)
		cancel()

		if err != nil {
			l.Log.V(1).Info("A failure domain did not answer a token request.", "domain", d, "team", name, "cause", err.Error())
			l.setBackoff(name, d, now.Add(silentBackoff))

			continue
		}

		if g.Tokens > 0 {
			return true
		}

		l.setBackoff(name, d, now.Add(min(maxEmptyBackoff, max(minRetryDelay, g.Wait))))
	}

	return false
}

func (l *Limiter) inBackoff(name carobward.TeamName, d carobward.Domain, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]

	return t == nil || now.Before(t.backoff[d])
}

func (l *Limiter) setBackoff(name carobward.TeamName, d carobward.Domain, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return
	}

	if t.backoff == nil {
		t.backoff = map[carobward.Domain]time.Time{}
	}

	t.backoff[d] = until
}
