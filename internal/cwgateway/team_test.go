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

// Keys of the teams.
const (
	clubKey       = "hhkmgjqnirth5mgjy5rc"
	pilotKey      = "pihhacruddedev3nax7u"
	anonymousPath = "/open/"
)

// anonymousRoute returns a route that needs no key.
func anonymousRoute(service string) cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": anonymousPath, "kind": "safe", "service": service, "anonymous": true}
}

// configureTeams writes the next version of the configuration, with teams.
func (f *fleet) configureTeams(teams []cwstand.MetadataTeam, routes ...cwstand.MetadataRoute) {
	f.version += 3
	f.store.Put("op/config", cwstand.MetadataConfigWithTeams(cwstand.MetadataConfig(f.version, host, routes...), teams...))
}

// sendWithFields sends one request with additional header fields.
func (v *vm) sendWithFields(path, id string, fields map[string]string) answer {
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

// TestKeys verifies that a request runs for the team whose key it shows, that the key is not
// forwarded or logged, and that requests without a known key do not run.
func TestKeys(t *testing.T) {
	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}, {Name: "pilots", Keys: []string{pilotKey}}}, safeRoute("records"), anonymousRoute("records"))

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
		"a key":                {readPath, bearer(clubKey), http.StatusOK, "club", ""},
		"another team's key":   {readPath, bearer(pilotKey), http.StatusOK, "pilots", ""},
		"lower-case scheme":    {readPath, map[string]string{"Authorization": "bearer " + clubKey}, http.StatusOK, "club", ""},
		"a forged team":        {readPath, map[string]string{"Authorization": "Bearer " + clubKey, "Tenant": "pilots"}, http.StatusOK, "club", ""},
		"no key":               {readPath, nil, http.StatusUnauthorized, "", ""},
		"an unknown key":       {readPath, bearer("nobody"), http.StatusUnauthorized, "", ""},
		"an empty key":         {readPath, bearer(""), http.StatusUnauthorized, "", ""},
		"another scheme":       {readPath, map[string]string{"Authorization": "Basic " + clubKey}, http.StatusUnauthorized, "", ""},
		"anonymous, no key":    {anonymousPath, nil, http.StatusOK, "", ""},
		"anonymous with a key": {anonymousPath, bearer(clubKey), http.StatusOK, "", ""},
		"anonymous, forged":    {anonymousPath, map[string]string{"Tenant": "club"}, http.StatusOK, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(u.Runs())

			if got := v.sendWithFields(c.path, "one", c.fields); got.err != nil || got.status != c.status {
				t.Fatalf("unexpected answer %+v", got)
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
		t.Errorf("%d log lines contain a key", n)
	}
}

// TestKeyRotated replaces a team's key through a configuration with both keys. Callers that
// switch meanwhile are always served, and the old key is refused in the end.
func TestKeyRotated(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}}, safeRoute("records"))

	v := f.start(t, "vm-1")
	v.waitReady(t)

	for i, keys := range [][]string{{clubKey, pilotKey}, {pilotKey}} {
		used := keys[0]
		f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: keys}}, safeRoute("records"))
		cwtest.Wait(t, "the new keys", func() bool {
			if got := v.sendWithFields(readPath, fmt.Sprint("old-", i), bearer(used)); got.status != http.StatusOK {
				t.Errorf("unexpected answer %+v", got)
			}

			return v.sendWithFields(readPath, fmt.Sprint("new-", i), bearer(pilotKey)).status == http.StatusOK
		})
	}

	cwtest.Wait(t, "the end of the old key", func() bool {
		return v.sendWithFields(readPath, "late", bearer(clubKey)).status == http.StatusUnauthorized
	})
}

// TestStaleKeys cuts an entry VM off from the store. Once its knowledge of keys is too old, it must
// refuse all requests that need a key and still serve the others.
func TestStaleKeys(t *testing.T) {
	const maxKeyAge = 1500 * time.Millisecond

	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}}}, safeRoute("records"), anonymousRoute("records"))

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Limits.MaxKeyAge = maxKeyAge })
	v.waitReady(t)
	cwtest.Wait(t, "an answer", func() bool { return v.sendWithFields(readPath, "one", bearer(clubKey)).status == http.StatusOK })

	f.store.SetFaults(cwstand.MetadataFaults{Silent: true})
	f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{pilotKey}}}, safeRoute("records"), anonymousRoute("records"))

	refused := answer{}

	cwtest.Wait(t, "a refusal", func() bool {
		refused = v.sendWithFields(readPath, "late", bearer(clubKey))

		return refused.status == http.StatusServiceUnavailable
	})

	if refused.header.Get("Retry-After") == "" {
		t.Errorf("a refusal has no Retry-After: header %v", refused.header)
	}

	ran := len(u.Runs())
	if got := v.sendWithFields(readPath, "later", bearer(clubKey)); got.status != http.StatusServiceUnavailable || len(u.Runs()) != ran {
		t.Errorf("with stale keys: %+v, %d runs", got, len(u.Runs())-ran)
	}

	if got := v.sendWithFields(anonymousPath, "open", nil); got.status != http.StatusOK {
		t.Errorf("unexpected answer %+v", got)
	}

	f.store.SetFaults(cwstand.MetadataFaults{})
	cwtest.Wait(t, "the new key", func() bool { return v.sendWithFields(readPath, "new", bearer(pilotKey)).status == http.StatusOK })

	if got := v.sendWithFields(readPath, "old", bearer(clubKey)); got.status != http.StatusUnauthorized {
		t.Errorf("unexpected answer %+v", got)
	}
}

// TestUpload verifies that the body of an upload reaches one server, whole and once, and that a
// refused upload is sent to another server.
func TestUpload(t *testing.T) {
	const size = 600_000

	f := newFleet(t)
	refusing, accepting := f.upstream(t, "photos", "i-1"), f.upstream(t, "photos", "i-2")
	refusing.SetMode(cwstand.UpstreamSheds, 0)
	f.configure(cwstand.MetadataRoute{"prefix": chargePath, "kind": "upload", "service": "photos"})

	v := f.start(t, "vm-1", startedLongAgo)
	v.waitReady(t)

	body := strings.Repeat("x", size)

	for i := range 4 {
		if got := v.send(http.MethodPost, chargePath, fmt.Sprint("id-", i), body); got.status != http.StatusOK {
			t.Errorf("unexpected answer %+v", got)
		}
	}

	if n := len(refusing.Runs()); n > 0 {
		t.Errorf("%d runs at a server that refuses", n)
	}

	for i, r := range accepting.Runs() {
		if r.ID != fmt.Sprint("id-", i) || r.Body != body {
			t.Errorf("%s with %d bytes", r.ID, len(r.Body))
		}
	}
}
