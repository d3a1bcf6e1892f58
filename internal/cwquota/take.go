package cwquota

import (
	"context"
	"math"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// Request describes a request that needs a token.
type Request struct {
	// Class is its place in the order in which requests of a team beyond its quota get
	// tokens.
	Class cwreserve.Class
	// TimelyFor is the time left to send the request so that its answer is in time, 0 if it
	// is late already. UsefulFor is the time left to send it so that its answer still
	// reaches the caller, 0 if none is left.
	TimelyFor, UsefulFor time.Duration
}

// retryDelay returns the delay after which the caller of a refused request may retry if a
// token for its class is expected after the wait. If that is too late for an answer in time,
// it is the longest useful delay, since an earlier retry would take tokens from new requests.
func (r *Request) retryDelay(wait time.Duration) time.Duration {
	useful := r.TimelyFor
	if r.Class.Late() {
		useful = r.UsefulFor
	}

	useful -= retryTime

	switch {
	case wait <= useful:
		return min(max(wait, minRetryDelay), useful)
	case r.UsefulFor > minRetryDelay:
		return r.UsefulFor
	default:
		return min(max(wait, minRetryDelay), maxUnknownDelay)
	}
}

// Take takes a token for a request of a team. If there is none it returns ErrOverQuota or
// ErrUnknown, with the delay after which the caller may retry.
func (l *Limiter) Take(ctx context.Context, name carobward.TeamName, r Request) (time.Duration, error) {
	now := l.Clock.Now()

	want, f := l.takeFromStock(name, r.Class, now)
	if want == 0 {
		return 0, nil
	}

	a := cwreserve.Ask{Class: r.Class, Want: want}

	g, err := l.askOwners(ctx, name, a, &f)
	l.noteGrant(name, &g, now)

	if g.Tokens > 0 || l.takeFromOtherDomain(ctx, name, r.Class, &f, now) {
		return 0, nil
	}

	if err != nil {
		return unknownRetryDelay, ErrUnknown
	}

	return r.retryDelay(g.Wait), ErrOverQuota
}

// GrantInDomain grants tokens of a team from the owners in this failure domain to an entry VM
// of another one.
func (l *Limiter) GrantInDomain(ctx context.Context, name carobward.TeamName, a *cwreserve.Ask) Grant {
	f := l.Fleet(l.Clock.Now())

	relayed := *a
	relayed.Relayed = true

	g, err := l.askOwners(ctx, name, relayed, &f)
	if err != nil {
		return Grant{}
	}

	return g
}

// askOwners requests tokens from the owners in this failure domain, one after the other. It
// returns an error if none of them answered.
func (l *Limiter) askOwners(ctx context.Context, name carobward.TeamName, a cwreserve.Ask, f *Fleet) (Grant, error) {
	none := Grant{Wait: math.MaxInt64}

	for _, o := range l.shuffledOwners(name, f) {
		g, err := l.ask(ctx, o, name, &a)

		switch {
		case err != nil:
			l.Log.V(1).Info("A bucket owner did not answer a token request.", "vm", o, "team", name, "cause", err.Error())
		case g.Tokens > 0:
			return g, nil
		case g.Owner:
			none.Owner, none.Wait, none.Beyond = true, min(none.Wait, g.Wait), true
			a.Again = true
		}
	}

	if !none.Owner {
		return none, ErrUnknown
	}

	return none, nil
}

func (l *Limiter) ask(ctx context.Context, to carobward.VMID, name carobward.TeamName, a *cwreserve.Ask) (Grant, error) {
	if to == l.Self {
		return l.Grant(name, a), nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	return l.Ask(ctx, to, name, a)
}
