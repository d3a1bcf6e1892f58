package cwfront

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwroutes"
)

// The figures of callers that show keys.
const (
	// keysOld is the age of the knowledge of keys from which on a key that is not known
	// may be one that was added since, so that its caller is not told for good that it is
	// none.
	keysOld = 5 * time.Second
	// keysAfter is when a caller may come back that is refused for the age of that
	// knowledge: another entry VM, on which its next connection mostly ends, may serve it.
	keysAfter = 200 * time.Millisecond
)

// authorize finds the team of a request whose route needs a key. What is refused here was
// sent nowhere.
func (r *request) authorize(h *fasthttp.RequestHeader, now time.Time) error {
	r.priority = r.route.Priority

	if !r.routes.Keyed(r.route) {
		return nil
	}

	f := r.front
	age, most := f.KeyAge(now), f.limits.Load().KeyAge
	team := r.routes.Team(f.Dialect.Key(h.Peek))

	switch {
	case most > 0 && age >= most, team == nil && age >= keysOld:
		f.counts.Add(countKeysOld, 1)

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, keysAfter, ErrKeysOld)
	case team == nil:
		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusUnauthorized, 0, ErrKey)
	}

	r.team = team
	r.priority = cwroutes.Priority(&r.route.Route, team)

	return nil
}

// teamName returns the name of the caller's team, or "".
func (r *request) teamName() carobward.TeamName {
	if r.team == nil {
		return ""
	}

	return r.team.Name
}

// takeToken takes a token of the team's quota, or refuses the request.
func (r *request) takeToken(ctx context.Context) error {
	if r.team == nil {
		return nil
	}

	wait, err := r.front.Quota.Take(ctx, r.team.Name)

	switch {
	case err == nil:
		return nil
	case errors.Is(err, cwquota.ErrOver):
		r.front.counts.Add(countOver, 1)

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusTooManyRequests, wait, err)
	default:
		r.front.counts.Add(countUnknown, 1)

		return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, wait, err)
	}
}
