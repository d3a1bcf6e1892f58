package cwgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// closedFeed is a store that answers nobody until it is opened.
type closedFeed struct {
	carobward.Feed

	open chan struct{}
}

func (f closedFeed) wait(ctx context.Context) {
	select {
	case <-f.open:
	case <-ctx.Done():
	}
}

// List implements carobward.Feed.
func (f closedFeed) List(ctx context.Context) (carobward.Changes, error) {
	f.wait(ctx)

	return f.Feed.List(ctx)
}

// Read implements carobward.Feed.
func (f closedFeed) Read(ctx context.Context, key carobward.Key) (carobward.Item, error) {
	f.wait(ctx)

	return f.Feed.Read(ctx, key)
}

// slowClock runs at a fraction of the usual speed, so that a start takes long enough for a
// test on a busy machine. It is ahead, as deadlines of connections must not be in the past.
type slowClock struct{ began time.Time }

const (
	clockSlowdown = 5
	clockAhead    = time.Hour
)

// Now implements carobward.Clock.
func (c slowClock) Now() time.Time {
	return c.began.Add(clockAhead + time.Since(c.began)/clockSlowdown)
}

// closed makes the store of an entry VM answer nobody until a channel is closed, and its
// clock slow.
func closed(open chan struct{}) func(*cwgateway.Options) {
	return func(o *cwgateway.Options) {
		o.Adapter.Feed = closedFeed{Feed: o.Adapter.Feed, open: open}
		o.Clock = slowClock{time.Now()}
	}
}

// startClosed starts an entry VM whose store does not answer until the returned channel is
// closed.
func (f *fleet) startClosed(t *testing.T, change ...func(*cwgateway.Options)) (*vm, chan struct{}) {
	t.Helper()

	open := make(chan struct{})

	return f.start(t, "vm-1", append(change, closed(open))...), open
}

// held returns the number of requests that an entry VM has held during its start.
func (v *vm) held(t *testing.T) int {
	t.Helper()

	return v.metric(t, "front", "startheld")
}

// TestHeldAtStart verifies that a request that reaches an entry VM before its configuration
// is held and then runs once, also where the keys in force or the owners of quotas are known
// only later.
func TestHeldAtStart(t *testing.T) {
	for name, c := range map[string]struct {
		teams []cwstand.MetadataTeam
		// fields are those of the request.
		fields map[string]string
		// maxKeyAge is the age up to which what is known of the keys may be used, 0 for any.
		maxKeyAge time.Duration
	}{
		"without teams": {},
		"with a key":    {[]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}}, bearer(clubKey), 3500 * time.Millisecond},
		"with a quota":  {[]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}, Rate: 100, Burst: 10}}, bearer(clubKey), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			f := newFleet(t)
			records := f.upstream(t, "records", "i-1")

			// The answer can be in time after the keys are known.
			route := safeRoute("records")
			route["target_latency"] = "1500ms"
			f.configureTeams(c.teams, route)

			v, open := f.startClosed(t, func(o *cwgateway.Options) { o.Limits.MaxKeyAge = c.maxKeyAge })
			cwtest.Wait(t, "the listeners", func() bool { return get(v.options.Ready, "/").err == nil })

			done := make(chan answer, 1)
			go func() { done <- v.sendWithFields(readPath, "early", c.fields) }()

			cwtest.Wait(t, "a held request", func() bool { return v.held(t) > 0 })

			if n := len(records.Runs()); n != 0 {
				t.Errorf("%d runs before the configuration", n)
			}

			close(open)

			if got := <-done; got.err != nil || got.status != http.StatusOK {
				t.Errorf("unexpected answer %+v", got)
			}

			if n := len(records.Runs()); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// TestRefusedAtStart verifies that a request whose caller can't wait for the configuration is
// refused at once, with when to retry, and does not run.
func TestRefusedAtStart(t *testing.T) {
	f := newFleet(t)
	records := f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))

	v, open := f.startClosed(t)
	cwtest.Wait(t, "the listeners", func() bool { return get(v.options.Ready, "/").err == nil })

	got := v.sendWithin(http.MethodGet, readPath, "hurried", "", 500)

	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 0.35 {
		t.Errorf("unexpected answer %+v", got)
	}

	if n := v.held(t); n != 0 {
		t.Errorf("%d requests were held", n)
	}

	close(open)
	v.waitReady(t)

	if n := len(records.Runs()); n != 0 {
		t.Errorf("%d runs of a refused request", n)
	}
}

// TestRefusedAfterLongStart verifies that an entry VM that still has no configuration long
// after its start refuses at once.
func TestRefusedAfterLongStart(t *testing.T) {
	f := newFleet(t)
	f.configure(safeRoute("records"))

	v, open := f.startClosed(t)
	defer close(open)

	cwtest.Wait(t, "the listeners", func() bool { return get(v.options.Ready, "/").err == nil })
	cwtest.Wait(t, "the end of the time for a start", func() bool {
		before := v.held(t)
		got := v.send(http.MethodGet, readPath, "patient", "")

		return got.status == http.StatusServiceUnavailable && v.held(t) == before
	})
}

// TestLookupAtStart verifies that callers are told of entry VMs that all start at once, and of
// none of them if the start takes too long.
func TestLookupAtStart(t *testing.T) {
	f := newFleet(t)
	f.configure(safeRoute("records"))

	const count = 4

	open := make(chan struct{})
	defer close(open)

	var all []*vm
	for i := range count {
		all = append(all, f.start(t, fmt.Sprint("vm-", i), closed(open)))
	}

	lookup := func() answer { return get(all[0].options.Lookup, platform.PathLookup+"?zone=a") }

	cwtest.Wait(t, "all addresses", func() bool {
		body := lookup().body

		return !slices.ContainsFunc(all, func(v *vm) bool { return !strings.Contains(body, string(v.options.Self.Callers)) })
	})

	cwtest.Wait(t, "the end of the time for a start", func() bool { return lookup().status == http.StatusServiceUnavailable })
}
