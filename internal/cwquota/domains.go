package cwquota

import (
	"context"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// takeFromOtherDomain takes a token from another failure domain.
func (l *Limiter) takeFromOtherDomain(ctx context.Context, name carobward.TeamName, c cwreserve.Class, f *Fleet, now time.Time) bool {
	for _, i := range rand.Perm(len(f.Domains)) {
		d := f.Domains[i]
		if l.inBackoff(name, d, c, now) {
			continue
		}

		ctx, cancel := context.WithTimeout(ctx, domainTimeout)
		g, err := l.AskDomain(ctx, d, name, &cwreserve.Ask{Class: c, Want: 1})
		cancel()

		if err != nil {
			l.Log.V(1).Info("A failure domain did not answer a token request.", "domain", d, "team", name, "cause", err.Error())
			l.setBackoff(name, d, 0, now.Add(silentBackoff))

			continue
		}

		if g.Tokens > 0 {
			return true
		}

		l.setBackoff(name, d, c, now.Add(min(maxEmptyBackoff, max(minRetryDelay, g.Wait))))
	}

	return false
}

func (l *Limiter) inBackoff(name carobward.TeamName, d carobward.Domain, c cwreserve.Class, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]

	return t == nil || t.backoff[d] != nil && now.Before(t.backoff[d][c])
}

// setBackoff makes requests of a class and of less urgent ones skip a failure domain until a
// time. It has no tokens for the less urgent ones either.
func (l *Limiter) setBackoff(name carobward.TeamName, d carobward.Domain, c cwreserve.Class, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return
	}

	if t.backoff == nil {
		t.backoff = map[carobward.Domain]*classTimes{}
	}

	all := t.backoff[d]
	if all == nil {
		all = &classTimes{}
		t.backoff[d] = all
	}

	for i := int(c); i < len(all); i++ {
		if until.After(all[i]) {
			all[i] = until
		}
	}
}
