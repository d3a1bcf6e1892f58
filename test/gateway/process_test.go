// Package gateway tests the program cwgateway, with each entry VM in a process of its
// own.
package gateway

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

const (
	host  = "club.example"
	grace = "1s"
	// answerTimeout is longer than any answer takes.
	answerTimeout = 5 * time.Second
)

// startSite starts n entry VMs with one server and waits until they are ready.
func startSite(t *testing.T, n int) (*cwsite.Site, *cwstand.Upstream) {
	t.Helper()

	g := cwsite.New(t, grace)
	u := cwstand.NewUpstream(cwtest.Listen(t), "i-1")
	t.Cleanup(u.Close)
	g.Store.Put("servers/i-1", cwstand.ServerEntry("records", u.Address(), "zone-1", "ready"))
	g.Store.Put("op/config", cwstand.MetadataConfig(1, host, cwstand.MetadataRoute{"prefix": "/", "kind": "safe", "service": "records"}))

	for range n {
		v := g.Start(t)
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	return g, u
}

// send sends a request and returns the status of the reply, or 0 if there is no reply.
func send(v *cwsite.EntryVM, id string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(v.Callers) + "/a")
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")

	if err := fasthttp.DoTimeout(req, resp, answerTimeout); err != nil {
		return 0
	}

	return resp.StatusCode()
}

// TestSignals checks that requests are served after SIGHUP, also with invalid settings,
// and that SIGTERM ends the process without an error.
func TestSignals(t *testing.T) {
	g, _ := startSite(t, 2)
	v := g.VMs[1]

	v.Process().Signal(t, syscall.SIGHUP)
	cwtest.Wait(t, "SIGHUP in the log", func() bool { return strings.Contains(v.Process().Output(), "signal=hangup") })

	if status := send(v, "one"); status != http.StatusOK {
		t.Errorf("status %d after SIGHUP", status)
	}

	if err := os.WriteFile(v.Settings, []byte("[self]\n"), 0o600); err != nil {
		t.Fatal(err)
	}

	v.Process().Signal(t, syscall.SIGHUP)
	cwtest.Wait(t, "an error in the log", func() bool {
		return strings.Contains(v.Process().Output(), "network.listen.front")
	})

	if status := send(v, "two"); status != http.StatusOK {
		t.Errorf("status %d after SIGHUP with invalid settings", status)
	}

	v.Process().Signal(t, syscall.SIGTERM)
	cwtest.Wait(t, "the entry VM is not ready", func() bool { return !v.IsReady() })

	if err := v.Process().Wait(t); err != nil {
		t.Errorf("the process exited with %v", err)
	}

	for _, line := range []string{"msg=Started.", "msg=Ready.", "msg=Stopping.", "msg=Stopped."} {
		if !strings.Contains(v.Process().Output(), line) {
			t.Errorf("the log has no %s", line)
		}
	}
}

// TestReload checks that a process applies a changed settings file without a restart, on
// SIGHUP and without a signal.
func TestReload(t *testing.T) {
	for name, signal := range map[string]bool{"on a signal": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			g, _ := startSite(t, 1)
			v := g.VMs[0]

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

			cwtest.Wait(t, "the new bound in the log", func() bool {
				return strings.Contains(v.Process().Output(), "New bounds are in force") && strings.Contains(v.Process().Output(), "looks=17")
			})

			if status := send(v, "one"); status != http.StatusOK {
				t.Errorf("status %d after the reload", status)
			}
		})
	}
}

// TestBadSettings checks that the error names the missing setting or file.
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
			p := cwtest.StartWithEnv(t, c.environment, program)
			if err := p.Wait(t); err == nil || !strings.Contains(p.Output(), c.want) {
				t.Errorf("the process exited with %v and printed %q", err, p.Output())
			}
		})
	}
}

// TestReplaced checks that an entry VM that was killed serves again after a restart while
// the store is unreachable.
func TestReplaced(t *testing.T) {
	g, u := startSite(t, 3)
	v := g.VMs[2]

	g.StoreProxy.SetFault(cwstand.ProxyResets)
	v.Process().Signal(t, syscall.SIGKILL)

	if err := v.Process().Wait(t); err == nil {
		t.Error("the killed process exited without an error")
	}

	g.Restart(t, v)
	cwtest.Wait(t, "the restarted entry VM is ready", v.IsReady)

	if status := send(v, "again"); status != http.StatusOK || len(u.Runs()) != 1 {
		t.Errorf("status %d after the restart, the server ran %d requests", status, len(u.Runs()))
	}
}

// TestStopRightAfterReload guards against a signal to stop that is lost right behind signals to reload
// the settings.
func TestStopRightAfterReload(t *testing.T) {
	const (
		vms  = 6
		step = 50 * time.Microsecond
	)

	g, _ := startSite(t, vms)

	for i, v := range g.VMs {
		gap := time.Duration(i+1) * step

		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
			v.Process().Signal(t, s)
			<-time.After(gap)
		}
	}

	for _, v := range g.VMs {
		if err := v.Process().Wait(t); err != nil {
			t.Errorf("the process exited with %v", err)
		}
	}
}

// TestDescriptors guards against an entry VM that never accepts a connection again once it has run out
// of descriptors.
func TestDescriptors(t *testing.T) {
	const (
		more  = 30
		conns = 2 * more
	)

	g, _ := startSite(t, 1)
	v := g.VMs[0]
	pid := v.Process().PID()

	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}

	most := uint64(len(open) + more)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil); err != nil {
		t.Fatal(err)
	}

	addresses := map[string]carobward.Address{"callers": v.Callers, "lookup": v.Lookup, "readiness": v.Ready}

	for name, address := range addresses {
		var held []net.Conn

		for range conns {
			c, err := net.Dial("tcp", string(address))
			if err != nil {
				t.Fatal(err)
			}

			held = append(held, c)
		}

		cwtest.Wait(t, "no descriptors for "+name, func() bool {
			now, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))

			return err == nil && len(now) >= len(open)+more-1
		})

		for _, c := range held {
			_ = c.Close()
		}
	}

	cwtest.Wait(t, "a request to be answered", func() bool { return send(v, "one") == http.StatusOK })
	cwtest.Wait(t, "readiness", v.IsReady)

	status, _, err := fasthttp.GetTimeout(nil, "http://"+string(v.Lookup)+platform.PathLookup+"?zone=zone-1", answerTimeout)
	if err != nil || status != http.StatusOK {
		t.Errorf("lookup: status %d, %v", status, err)
	}
}
