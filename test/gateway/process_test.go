// Package gateway tests the program cwgateway as separate processes.
package gateway

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

const (
	host  = "club.example"
	grace = "1s"
)

// fleet starts entry VMs with one server.
func fleet(t *testing.T, n int) (*cwsite.Site, *cwstand.Upstream) {
	t.Helper()

	g := cwsite.New(t, grace)
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)
	g.Store.Put("servers/i-1", cwstand.MetadataServer("records", u.Address(), "zone-1", "ready"))
	g.Store.Put("op/config", cwstand.MetadataConfig(1, host, cwstand.MetadataRoute{"prefix": "/", "kind": "safe", "service": "records"}))

	for range n {
		v := g.Start(t)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	return g, u
}

// ask sends one request and returns its status.
func ask(v *cwsite.Gateway, id string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(v.Callers) + "/a")
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")

	if err := fasthttp.Do(req, resp); err != nil {
		return 0
	}

	return resp.StatusCode()
}

// TestSignals wants SIGHUP to cost no request, also with settings that can't be
// read, and SIGTERM to end the process well.
func TestSignals(t *testing.T) {
	g, _ := fleet(t, 2)
	v := g.All[1]

	v.Process().Signal(t, syscall.SIGHUP)
	cwtest.Wait(t, "SIGHUP", func() bool { return strings.Contains(v.Process().Output(), "signal=hangup") })

	if status := ask(v, "one"); status != http.StatusOK {
		t.Errorf("status %d after SIGHUP", status)
	}

	if err := os.WriteFile(v.Settings, []byte("[self]\n"), 0o600); err != nil {
		t.Fatal(err)
	}

	v.Process().Signal(t, syscall.SIGHUP)
	cwtest.Wait(t, "an error in the log", func() bool {
		return strings.Contains(v.Process().Output(), "network.listen.front")
	})

	if status := ask(v, "two"); status != http.StatusOK {
		t.Errorf("status %d after SIGHUP with bad settings", status)
	}

	v.Process().Signal(t, syscall.SIGTERM)
	cwtest.Wait(t, "the end of readiness", func() bool { return !v.IsReady() })

	if err := v.Process().Wait(t); err != nil {
		t.Errorf("ended with %v", err)
	}

	for _, line := range []string{"msg=Started.", "msg=Ready.", "msg=Stopping.", "msg=Stopped."} {
		if !strings.Contains(v.Process().Output(), line) {
			t.Errorf("the log lacks %s", line)
		}
	}
}

// TestReload changes the settings file of a process. A new bound is put in force
// without a restart, on a signal and without one.
func TestReload(t *testing.T) {
	for name, signal := range map[string]bool{"on a signal": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			g, _ := fleet(t, 1)
			v := g.All[0]

			raw, err := os.ReadFile(v.Settings)
			if err != nil {
				t.Fatal(err)
			}

			text := strings.Replace(string(raw), "probes_per_s = 60", "probes_per_s = 17", 1)
			if err := os.WriteFile(v.Settings, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}

			if signal {
				v.Process().Signal(t, syscall.SIGHUP)
			}

			cwtest.Wait(t, "the new bound", func() bool {
				return strings.Contains(v.Process().Output(), "New bounds are in force") && strings.Contains(v.Process().Output(), "looks=17")
			})

			if status := ask(v, "one"); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
}

// TestBadSettings wants an error that names what is missing.
func TestBadSettings(t *testing.T) {
	program := cwtest.Build(t, "cmd/cwgateway")

	for name, c := range map[string]struct {
		environment []string
		want        string
	}{
		"no path":    {nil, "set CAROBWARD_BOOT"},
		"no file":    {[]string{"CAROBWARD_BOOT=/does/not/exist"}, "/does/not/exist"},
		"empty file": {[]string{"CAROBWARD_BOOT=" + cwtest.File(t, "empty.toml", "")}, "self.node"},
	} {
		t.Run(name, func(t *testing.T) {
			p := cwtest.StartWith(t, c.environment, program)
			if err := p.Wait(t); err == nil || !strings.Contains(p.Output(), c.want) {
				t.Errorf("ended with %v and %q", err, p.Output())
			}
		})
	}
}

// TestReplaced kills an entry VM and wants its next process to take part
// again, with the store away.
func TestReplaced(t *testing.T) {
	g, u := fleet(t, 3)
	v := g.All[2]

	g.StoreProxy.Set(cwstand.ProxyResets)
	v.Process().Signal(t, syscall.SIGKILL)

	if err := v.Process().Wait(t); err == nil {
		t.Error("a killed process ended well")
	}

	g.Restart(t, v)
	cwtest.Wait(t, "ready again", v.IsReady)

	if status := ask(v, "again"); status != http.StatusOK || len(u.Runs()) != 1 {
		t.Errorf("status %d, %d runs", status, len(u.Runs()))
	}
}
