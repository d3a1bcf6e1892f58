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

// writeAgain has the operator and the servers write again what a store that came back from
// a copy may have lost.
func (w *world) writeAgain() {
	w.configure()

	for d := range w.emptied {
		w.Store.Put(evacuationOf(d), nil)
	}

	for _, s := range w.servers {
		s.mutex.Lock()
		state := s.state
		s.mutex.Unlock()

		w.register(s, state)
	}
}

// forward wants no process to go back to an older configuration.
func (w *world) forward(t *testing.T) {
	t.Helper()

	for _, v := range w.All {
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

// client asks for metrics; a process that is suspended or about to start has none.
var client = &http.Client{Timeout: 200 * time.Millisecond}

// versionOf returns the version of the configuration that an entry VM has in force.
func versionOf(v *cwsite.Gateway) (int, bool) {
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
