package cwgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// The keys of the tests.
const (
	clubKey  = "hhkmgjqnirth5mgjy5rc"
	pilotKey = "pihhacruddedev3nax7u"
	openPath = "/open/"
)

// open is a route that needs no key.
func open(service string) cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": openPath, "kind": "safe", "service": service, "anonymous": true}
}

// teams writes the next configuration with teams.
func (f *fleet) teams(teams []cwstand.MetadataTeam, routes ...cwstand.MetadataRoute) {
	f.version += 3
	f.store.Put("op/config", cwstand.MetadataConfigWithTeams(cwstand.MetadataConfig(f.version, host, routes...), teams...))
}

// askAs sends one request with header fields of the caller's, by name.
func (v *vm) askAs(path, id string, fields map[string]string) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+string(v.options.Self.Callers)+path, nil)
	if err != nil {
		return answer{err: err}
	}

	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "3000")

	for name, value := range fields {
		req.Header.Set(name, value)
	}

	return do(req)
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

// TestKeys wants a request to run for the team that holds its key, without the key, and
// none to run whose key no configuration has.
func TestKeys(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.teams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}, {Name: "pilots", Keys: []string{pilotKey}}}, safe("records"), open("records"))

	var lines atomic.Int64

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Log = funcr.New(func(_, line string) {
			if strings.Contains(line, clubKey) || strings.Contains(line, pilotKey) {
				lines.Add(1)
			}
		}, funcr.Options{Verbosity: 1})
	})
	v.waitReady(t)

	for name, c := range map[string]struct {
		path   string
		fields map[string]string
		status int
		team   string
		key    string
	}{
		"a key":               {reading, bearer(clubKey), http.StatusOK, "club", ""},
		"another team's":      {reading, bearer(pilotKey), http.StatusOK, "pilots", ""},
		"the scheme in small": {reading, map[string]string{"Authorization": "bearer " + clubKey}, http.StatusOK, "club", ""},
		"a forged team":       {reading, map[string]string{"Authorization": "Bearer " + clubKey, "Tenant": "pilots"}, http.StatusOK, "club", ""},
		"no key":              {reading, nil, http.StatusUnauthorized, "", ""},
		"an unknown key":      {reading, bearer("nobody"), http.StatusUnauthorized, "", ""},
		"an empty key":        {reading, bearer(""), http.StatusUnauthorized, "", ""},
		"another scheme":      {reading, map[string]string{"Authorization": "Basic " + clubKey}, http.StatusUnauthorized, "", ""},
		"open to all":         {openPath, nil, http.StatusOK, "", ""},
		"open, with a key":    {openPath, bearer(clubKey), http.StatusOK, "", ""},
		"open, forged":        {openPath, map[string]string{"Tenant": "club"}, http.StatusOK, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(u.Runs())

			if got := v.askAs(c.path, "one", c.fields); got.err != nil || got.status != c.status {
				t.Fatalf("%+v", got)
			}

			var want []cwstand.Run
			if c.status == http.StatusOK {
				want = []cwstand.Run{{ID: "one", Method: http.MethodGet, URI: c.path, Team: c.team, Key: c.key}}
			}

			got := u.Runs()[before:]
			for i := range got {
				got[i].TimeLeft = ""
			}

			if diff := cmp.Diff(want, append([]cwstand.Run(nil), got...)); diff != "" {
				t.Error(diff)
			}
		})
	}

	if n := lines.Load(); n > 0 {
		t.Errorf("%d log lines have a key", n)
	}
}

// TestKeyRotated replaces a team's key by way of a version that has both. Callers that
// change over meanwhile are always served, and the old key is refused in the end.
func TestKeyRotated(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.teams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}}, safe("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i, keys := range [][]string{{clubKey, pilotKey}, {pilotKey}} {
		used := keys[0]
		f.teams([]cwstand.MetadataTeam{{Name: "club", Keys: keys}}, safe("records"))
		cwtest.Wait(t, "the new keys", func() bool {
			if got := v.askAs(reading, fmt.Sprint("old-", i), bearer(used)); got.status != http.StatusOK {
				t.Errorf("%+v", got)
			}

			return v.askAs(reading, fmt.Sprint("new-", i), bearer(pilotKey)).status == http.StatusOK
		})
	}

	cwtest.Wait(t, "the end of the old key", func() bool {
		return v.askAs(reading, "late", bearer(clubKey)).status == http.StatusUnauthorized
	})
}

// TestKeysOld cuts an entry VM off from the store. Once what it knows of keys is old it
// must not serve by them, whatever they are; others are served.
func TestKeysOld(t *testing.T) {
	const most = 1500 * time.Millisecond

	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.teams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}}, safe("records"), open("records"))

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Limits.MaxKeyAge = most })
	v.waitReady(t)
	cwtest.Wait(t, "an answer", func() bool { return v.askAs(reading, "one", bearer(clubKey)).status == http.StatusOK })

	f.store.SetFaults(cwstand.MetadataFaults{Silent: true})
	f.teams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{pilotKey}}}, safe("records"), open("records"))

	refused := answer{}

	cwtest.Wait(t, "a refusal", func() bool {
		refused = v.askAs(reading, "late", bearer(clubKey))

		return refused.status == http.StatusServiceUnavailable
	})

	if refused.header.Get("Retry-After") == "" {
		t.Errorf("%v", refused.header)
	}

	ran := len(u.Runs())
	if got := v.askAs(reading, "later", bearer(clubKey)); got.status != http.StatusServiceUnavailable || len(u.Runs()) != ran {
		t.Errorf("%+v, %d runs", got, len(u.Runs())-ran)
	}

	if got := v.askAs(openPath, "open", nil); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}

	f.store.SetFaults(cwstand.MetadataFaults{})
	cwtest.Wait(t, "the new key", func() bool { return v.askAs(reading, "new", bearer(pilotKey)).status == http.StatusOK })

	if got := v.askAs(reading, "old", bearer(clubKey)); got.status != http.StatusUnauthorized {
		t.Errorf("%+v", got)
	}
}

// TestUpload wants the body of an upload to reach one server whole, once, and a refused one
// to be sent to another.
func TestUpload(t *testing.T) {
	const size = 600_000

	f := newFleet(t)
	sheds, takes := f.upstream(t, "photos", "i-1"), f.upstream(t, "photos", "i-2")
	sheds.SetMode(cwstand.UpstreamSheds, 0)
	f.configure(cwstand.MetadataRoute{"prefix": charging, "kind": "upload", "service": "photos"})

	v := f.start(t, "vm-1")
	v.waitReady(t)

	body := strings.Repeat("x", size)

	for i := range 4 {
		if got := v.ask(http.MethodPost, charging, fmt.Sprint("id-", i), body); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}

	if n := len(sheds.Runs()); n > 0 {
		t.Errorf("%d runs at a server that refuses", n)
	}

	for i, r := range takes.Runs() {
		if r.ID != fmt.Sprint("id-", i) || r.Body != body {
			t.Errorf("%s with %d bytes", r.ID, len(r.Body))
		}
	}
}
