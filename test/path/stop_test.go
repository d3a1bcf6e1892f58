package path

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/lab/cwload"
)

// peersKey returns the setting that names a key file for the connections between entry VMs.
func peersKey(t *testing.T) string {
	t.Helper()

	return fmt.Sprintf(`"keys": {"peers": %q}`, cwtest.File(t, "peers.key", strings.Repeat("5a", 16)))
}

// newStopFleet starts three entry VMs of one failure domain with additional settings, and
// two servers for lookups. The argument billing is the address of the server that charges
// fees.
func newStopFleet(t *testing.T, more, billing string) *cwtest.Fleet {
	t.Helper()

	f := cwtest.NewFleet(t)

	const anyPort = "127.0.0.1:0"
	for i := range 3 {
		at := cwtest.EntryVM{Domain: "Ifrane", Callers: anyPort, Lookup: anyPort, Peers: anyPort, Operators: anyPort}
		f.StartVMAt(t, fmt.Sprintf("vm-%d", i+1), at, more)
	}

	f.StartServer(t, "records", "--slots", "30")
	f.StartServer(t, "records", "--slots", "30")
	f.AddServer(t, "billing", billing)

	targets := cwtest.File(t, "targets.jsonc", `{"targets": [
		{"name": "sheet-lookup", "service": "records", "promise": "quick", "match": [{"method": "GET", "path": "/sheets/"}], "within": "5s"},
		{"name": "launch-fee", "service": "billing", "promise": "once", "match": [{"method": "POST", "path": "/fees"}], "within": "1m"}]}`)
	if out, code := cwtest.Run(t, f.Carobward, "apply", "--vm", f.VMs["vm-1"].Operators, targets); code != 0 {
		t.Fatalf("apply: exit code %d\n%s", code, out)
	}

	f.WaitRevision(t, 1, 3)

	return f
}

// TestStop stops an entry VM under constant load and starts it again on the same addresses,
// twice in a row. No request may fail in a graceful stop. For comparison, some must fail if
// a second signal ends the process at once.
func TestStop(t *testing.T) {
	for name, tt := range map[string]struct {
		immediate bool
	}{
		"graceful":  {},
		"immediate": {immediate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}

			billing := cwstand.NewServer(ln, cwstand.ServerOptions{Slots: 30, Work: 5 * time.Millisecond})
			defer billing.Close()

			more := peersKey(t)
			f := newStopFleet(t, more, ln.Addr().String())
			o := cwload.Options{Domain: "Ifrane", Callers: 6, Workers: 4, Read: "/sheets/today", Charge: "/fees"}
			for _, v := range f.VMs {
				o.Lookup = append(o.Lookup, carobward.Address(v.Lookup))
			}

			l := cwload.Start(o)
			defer l.Stop()

			for range 2 {
				replace(t, f, l, more, tt.immediate)
			}

			l.Stop()

			got := l.Counts()
			t.Logf("%d requests by vm-1, %d by the others, %d failed", got.ByVM["vm-1"], got.ByVM["vm-2"]+got.ByVM["vm-3"], got.Failed)

			if tt.immediate != (got.Failed > 0) {
				t.Errorf("%d requests failed: %v", got.Failed, got.Causes)
			}

			if ran, want := billing.Ran(), got.Charged; !tt.immediate && ran != want {
				t.Errorf("%d fees ran, %d were confirmed", ran, want)
			}
		})
	}
}

// replace stops vm-1 while it serves requests and starts it again.
func replace(t *testing.T, f *cwtest.Fleet, l *cwload.Load, more string, immediate bool) {
	t.Helper()

	const enough = 50

	old := f.VMs["vm-1"]
	before := l.Served("vm-1")
	cwtest.Wait(t, "vm-1 serves requests", func() bool { return l.Served("vm-1") > before+enough })

	old.Process.Signal(t, syscall.SIGTERM)

	if immediate {
		cwtest.Wait(t, "vm-1 logs that it leaves", func() bool { return strings.Contains(old.Process.Output(), "Leaving.") })
		old.Process.Signal(t, syscall.SIGTERM)
	}

	if err := old.Process.Wait(t); (err != nil) != immediate {
		t.Errorf("the process exited with %v", err)
	}

	f.StartVMAt(t, "vm-1", *old, more)
}

// acceptPost returns the first connection on which a POST arrives. It closes others, such as
// those of health checks.
func acceptPost(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()

	for {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}

		begin := make([]byte, len(fasthttp.MethodPost))
		if _, err := io.ReadFull(c, begin); err == nil && string(begin) == fasthttp.MethodPost {
			return c
		}

		_ = c.Close()
	}
}

// TestStopBound stops an entry VM with a request that its server never answers. The request
// must be answered as unknown, and the process must exit with an error.
func TestStopBound(t *testing.T) {
	t.Parallel()

	stuck, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = stuck.Close() }()

	f := newStopFleet(t, `"stop": "4s"`, stuck.Addr().String())
	n := f.VMs["vm-1"]

	type result struct {
		verdict string
		err     error
	}

	answered := make(chan result, 1)

	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + n.Callers + "/fees")

		err := fasthttp.DoTimeout(req, resp, cwtest.MaxWait)
		answered <- result{string(resp.Header.Peek(carobward.HeaderVerdict)), err}
	}()

	conn := acceptPost(t, stuck)
	defer func() { _ = conn.Close() }()

	n.Process.Signal(t, syscall.SIGTERM)

	if got := <-answered; got.err != nil || got.verdict != carobward.Unknown.String() {
		t.Errorf("the unanswered request got %+v", got)
	}

	if err := n.Process.Wait(t); err == nil || err.Error() != "exit status 1" {
		t.Errorf("the process exited with %v", err)
	}

	if !strings.Contains(n.Process.Output(), "Requests in flight are given up at the bound.") {
		t.Error("the log does not show that the request in flight was given up")
	}
}
