package cwquota

import (
	"context"
	"math"
	"time"

	"carobward.example/carobward"
)

// Take takes a token for a request of a team. If there is none it returns ErrOverQuota or
// ErrUnknown, with the delay after which the caller may retry.
func (l *Limiter) Take(ctx context.Context, name carobward.TeamName) (time.Duration, error) {
	now := l.Clock.Now()

	want, f := l.usePrefetched(name, now)
	if want == 0 {
		return 0, nil
	}

	g, err := l.askOwners(ctx, name, want, &f)
	if g.Tokens > 0 {
		l.storePrefetched(name, g.Tokens-1, now)

		return 0, nil
	}

	if l.takeFromOtherDomain(ctx, name, &f, now) {
		return 0, nil
	}

	if err != nil {
		return unknownRetryDelay, ErrUnknown
	}

	return g.Wait, ErrOverQuota
}

// GrantInDomain grants tokens of a team from the owners in this failure domain.
func (l *Limiter) GrantInDomain(ctx context.Context, name carobward.TeamName, want int) Grant {
	f := l.Fleet(l.Clock.Now())

	g, err := l.askOwners(ctx, name, want, &f)
	if err != nil {
		return Grant{}
	}

	return g
}

// askOwners requests tokens from the owners in this failure domain, one after the other. It
// returns an error if none of them answered.
func (l *Limiter) askOwners(ctx context.Context, name carobward.TeamName, want int, f *Fleet) (Grant, error) {
	none := Grant{Wait: math.MaxInt64}

	for _, o := range l.shuffledOwners(name, f) {
		g, err := l.ask(ctx, o, name, want)

		switch {
		case err != nil:
			l.Log.V(1).Info("A bucket owner did not answer a token request.", "vm", o, "team", name, "cause", err.Error())
		case g.Tokens > 0:
			return g, nil
		case g.Owner:
			none.Owner, none.Wait = true, min(none.Wait, g.Wait)
		}
	}

	if !none.Owner {
		return none, ErrUnknown
	}

	return none, nil
}

func (l *Limiter) ask(ctx context.Context, to carobward.VMID, name carobward.TeamName, want int) (Grant, error) {
	if to == l.Self {
		return l.Grant(name, want), nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	return l.Ask(ctx, to, name, want)
}
