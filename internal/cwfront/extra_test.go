package cwfront

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
	"carobward.example/carobward/internal/cwroutes"
)

// TestRetryCountsWhenSent checks that the extra call of a retry counts when it is sent, not when the
// search for a server begins: one that is never sent costs none.
func TestRetryCountsWhenSent(t *testing.T) {
	f := newFront(1)
	f.started = time.Now().Add(-time.Hour)
	f.Quarantine = cwquarantine.New(cwquarantine.Options{Table: cwquarantine.NewTable(), Clock: f.Clock, Log: f.Log})

	r := &request{front: f, state: f.serviceState("records"), service: "records", err: carobward.NewFailure(carobward.NotRun, http.StatusServiceUnavailable, 0, ErrRefused), sends: 1}
	r.route = &cwroutes.Route{Route: carobward.Route{Attempts: 2, Objective: time.Second}}
	r.routes = cwroutes.New(&carobward.Routing{})
	r.deadline = time.Now().Add(time.Minute)

	var extras []int

	count := func() {
		extras = append(extras, r.state.window.Usage(time.Now(), f.fixedExtraCalls(f.FleetSize())).Extras)
	}

	if !r.shouldRetry(t.Context()) {
		t.Fatal("the request is not sent again")
	}

	count()

	if !r.takeRetry() {
		t.Error("no extra call is left")
	}

	count()

	if !r.takeRetry() {
		t.Error("a first send needs an extra call")
	}

	count()

	if diff := cmp.Diff([]int{0, 1, 1}, extras); diff != "" {
		t.Error(diff)
	}
}
