package cwfront

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwreserve"
	"carobward.example/carobward/internal/cwroutes"
)

// The limits of requests that need an API key.
const (
	// keysStaleAge is the age of this entry VM's key list from which on an unknown key may
	// be one that was added since. Its caller is told to retry instead of being refused
	// for good.
	keysStaleAge = 5 * time.Second
	// keysRetryAfter is when a caller may retry that was refused because the key list is
	// old. Its next connection mostly reaches another entry VM, which may serve it.
	keysRetryAfter = 200 * time.Millisecond
)

// authorize finds the team of a request whose route needs a key. A request that it refuses
// was not sent.
func (r *request) authorize(h *fasthttp.RequestHeader, now time.Time) error {
	r.priority = r.route.Priority

	if !r.routes.NeedsKey(r.route) {
		return nil
	}

	f := r.front
	age, most := f.KeyAge(now), f.limits.Load().MaxKeyAge
	team := r.routes.Team(f.Dialect.Key(h.Peek))

	switch {
	case most > 0 && age >= most, team == nil && age >= keysStaleAge:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, keysRetryAfter, ErrStaleKeys)
	case team == nil:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusUnauthorized, 0, ErrNoKey)
	}

	r.team = team
	r.priority = cwroutes.Priority(&r.route.Route, team)

	return nil
}

// teamName returns the name of the caller's team, or "" if it has none.
func (r *request) teamName() carobward.TeamName {
	if r.team == nil {
		return ""
	}

	return r.team.Name
}

// token is the token of a request, or the zero value if it has none.
type token struct {
	class cwreserve.Class
	taken time.Time
}

// tokenRequest describes the request to the team's quota. The route's priority decides, as
// a team's own is the same for all its requests.
func (r *request) tokenRequest(now time.Time) cwquota.Request {
	return cwquota.Request{
		Class:     cwreserve.ClassOf(r.routes.KeyedRank(r.route.Priority), r.schedule.Timely(now)),
		TimelyFor: max(0, r.schedule.TimelyFor(now)),
		UsefulFor: max(0, r.schedule.UsefulFor(now)),
	}
}

// giveBackToken gives back the token of a request that has not run and never will.
func (r *request) giveBackToken() {
	if r.token.taken.IsZero() || r.possiblyRun || r.err == nil || carobward.VerdictOf(r.err) != carobward.NotRun {
		return
	}

	r.front.Quota.GiveBack(r.team.Name, r.token.class, r.token.taken)
}

// takeToken takes a token from the team's quota, or returns the failure of the request.
func (r *request) takeToken(ctx context.Context) error {
	if r.team == nil || r.origin != "" { // The entry VM that passed it on has taken one.
		return nil
	}

	now := r.front.Clock.Now()
	need := r.tokenRequest(now)
	wait, err := r.front.Quota.Take(ctx, r.team.Name, need)

	for errors.Is(err, cwquota.ErrUnknown) && r.awaitOwners(ctx) {
		now = r.front.Clock.Now()
		need = r.tokenRequest(now)
		wait, err = r.front.Quota.Take(ctx, r.team.Name, need)
	}

	switch {
	case err == nil:
		r.token = token{class: need.Class, taken: now}

		return nil
	case errors.Is(err, cwquota.ErrOverQuota):
		r.front.counts.Add(countOverQuota, 1)

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusTooManyRequests, wait, err)
	default:
		r.front.counts.Add(countQuotaUnknown, 1)

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, wait, err)
	}
}
