package cwfront

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwqueue"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwroutes"
)

// newTeamRequest returns a request on the urgent route of a team whose bucket holds one token.
func newTeamRequest(f *Front) *request {
	team := &carobward.Team{Name: "club", Quota: carobward.Quota{Rate: 1e-6, Burst: 1}}
	f.Quota = cwquota.New(cwquota.Options{
		Self: "vm-1", Clock: f.Clock, Log: logr.Discard(),
		Fleet: func(time.Time) cwquota.Fleet { return cwquota.Fleet{DomainSize: 1, DomainShare: 1, Settled: true} },
	})
	f.Quota.SetTeams([]carobward.Team{*team})

	now := f.Clock.Now()

	return &request{
		front: f, team: team, route: &cwroutes.Route{}, routes: cwroutes.New(&carobward.Routing{}),
		schedule: cwqueue.Schedule{Due: now.Add(time.Minute), Deadline: now.Add(time.Hour), Usual: time.Second},
	}
}

// TestGiveBackToken verifies that the token of a request that surely did not run serves the
// next one, and no other.
func TestGiveBackToken(t *testing.T) {
	for name, c := range map[string]struct {
		err         error
		possiblyRun bool
		want        bool
	}{
		"no server":         {carobward.NewFailure(carobward.NotRun, 503, 0, ErrNoRoom), false, true},
		"an earlier send":   {carobward.NewFailure(carobward.NotRun, 503, 0, ErrNoRoom), true, false},
		"broken connection": {carobward.NewFailure(carobward.Unknown, 502, 0, errors.New("reset")), false, false},
		"answered":          {nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTeamRequest(newFront(0.5))

			if err := r.takeToken(context.Background()); err != nil {
				t.Fatal(err)
			}

			r.err, r.possiblyRun = c.err, c.possiblyRun
			r.giveBackToken()

			next := *r
			if err := next.takeToken(context.Background()); (err == nil) != c.want {
				t.Errorf("the next request gets %v", err)
			}
		})
	}
}

// TestTokenRequest verifies what a team's quota is told of a request.
func TestTokenRequest(t *testing.T) {
	r := newTeamRequest(newFront(0.5))
	now := r.schedule.Due.Add(-time.Minute)

	for name, c := range map[string]struct {
		at   time.Time
		want cwquota.Request
	}{
		"in time": {now, cwquota.Request{Class: 0, TimelyFor: 59 * time.Second, UsefulFor: time.Hour - time.Second}},
		"late":    {now.Add(time.Minute), cwquota.Request{Class: 4, UsefulFor: time.Hour - time.Minute - time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := r.tokenRequest(c.at); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
