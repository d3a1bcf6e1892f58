package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwsite"
)

// metricsPort is where entry VMs serve their metrics.
const metricsPort = "9464"

// rewriteStore writes the configuration, the evacuations and the servers' entries again, as the
// operator and the servers do after the store was restored from a backup.
func (w *world) rewriteStore() {
	w.configure()

	for d := range w.evacuated {
		w.Store.Put(evacuationKey(d), nil)
	}

	for _, s := range w.servers {
		s.mutex.Lock()
		state := s.state
		s.mutex.Unlock()

		w.register(s, state)
	}
}

// checkVersions checks that no process has gone back to an older configuration.
func (w *world) checkVersions(t *testing.T) {
	t.Helper()

	for _, v := range w.VMs {
		p := v.Process()

		version, ok := versionOf(v)
		if !ok {
			continue
		}

		if version < w.versions[p] {
			t.Errorf("%s has configuration %d after %d", v.ID, version, w.versions[p])
		}

		w.versions[p] = version
	}
}

// client reads metrics. The timeout is short, since paused and starting processes do not
// answer.
var client = &http.Client{Timeout: 200 * time.Millisecond}

// versionOf returns the version of an entry VM's effective configuration, and false if it
// can't be read.
func versionOf(v *cwsite.EntryVM) (int, bool) {
	host, _, _ := net.SplitHostPort(string(v.Callers))

	resp, err := client.Get("http://" + net.JoinHostPort(host, metricsPort) + "/metrics")
	if err != nil {
		return 0, false
	}

	defer func() { _ = resp.Body.Close() }()

	all := struct {
		Gateway struct {
			Version int `json:"version"`
		} `json:"gateway"`
	}{}

	err = json.NewDecoder(resp.Body).Decode(&all)

	return all.Gateway.Version, err == nil && all.Gateway.Version > 0
}
