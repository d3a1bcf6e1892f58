// Package path tests the whole path as separate processes.
package path

import (
	"fmt"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwtest"
)

// fleet is a set of separate processes.
type fleet struct {
	carobward, cwstand string
	platform           string
	nodes              map[string]*node
}

type node struct {
	process                           *cwtest.Process
	callers, lookup, peers, operators string
}

var listening = regexp.MustCompile(`listening (\S+)`)

func (f *fleet) stand(t *testing.T, args ...string) string {
	t.Helper()

	p := cwtest.Start(t, f.cwstand, args...)

	var address string

	cwtest.Wait(t, "a stand-in that listens", func() bool {
		if m := listening.FindStringSubmatch(p.Output()); m != nil {
			address = m[1]
		}

		return address != ""
	})

	return address
}

var serving = regexp.MustCompile(`msg=Serving\..* callers=(\S+) lookup=(\S+) peers=(\S+) operators=(\S+)`)

func (f *fleet) serve(t *testing.T, vm, domain string) {
	t.Helper()

	settings := cwtest.File(t, "settings.jsonc", fmt.Sprintf(`{
		// One entry VM.
		"vm": %q, "domain": %q,
		"listen": {"callers": "127.0.0.1:0", "lookup": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
		"store": {"url": "http://%s"},
		"list": {"url": "http://%s/vms", "every": "100ms"},
		"keep": "1s",
	}`, vm, domain, f.platform, f.platform))

	n := &node{process: cwtest.Start(t, f.carobward, "serve", "--settings", settings)}

	cwtest.Wait(t, "an entry VM that serves", func() bool {
		m := serving.FindStringSubmatch(n.process.Output())
		if m != nil {
			n.callers, n.lookup, n.peers, n.operators = m[1], m[2], m[3], m[4]
		}

		return m != nil
	})

	f.nodes[vm] = n
}

func (f *fleet) list(t *testing.T, servers map[string][]string) {
	t.Helper()

	var groups []string

	for service, addresses := range servers {
		for _, a := range addresses {
			groups = append(groups, fmt.Sprintf(`{"targets":[%q],"labels":{"service":%q,"domain":"Ifrane"}}`, a, service))
		}
	}

	for vm, n := range f.nodes {
		groups = append(groups, fmt.Sprintf(`{"targets":[%q],"labels":{"service":"carobward","domain":"Ifrane","vm":%q}}`, n.peers, vm))
	}

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)

	req.Header.SetMethod("PUT")
	req.SetRequestURI("http://" + f.platform + "/vms")
	req.SetBodyString("[" + strings.Join(groups, ",") + "]")

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("set the VM list: %v, status %d", err, resp.StatusCode())
	}
}

// inForce waits until status shows a revision on all entry VMs.
func (f *fleet) inForce(t *testing.T, revision int) {
	t.Helper()

	line := regexp.MustCompile(fmt.Sprintf(`(?m)^vm-\d+ .* live +%d$`, revision))

	for vm, n := range f.nodes {
		cwtest.Wait(t, fmt.Sprintf("revision %d on all as %s sees it", revision, vm), func() bool {
			out, _ := cwtest.Run(t, f.carobward, "status", "--vm", n.operators)

			return len(line.FindAllString(out, -1)) == len(f.nodes)
		})
	}
}

func newFleet(t *testing.T) *fleet {
	t.Helper()

	f := &fleet{
		carobward: cwtest.Build(t, "cmd/carobward"),
		cwstand:   cwtest.Build(t, "cmd/cwstand"),
		nodes:     map[string]*node{},
	}
	f.platform = f.stand(t, "platform", "--listen", "127.0.0.1:0")

	for i, d := range []string{"Ifrane", "Ouarzazate", "Azilal"} {
		f.serve(t, fmt.Sprintf("vm-%d", i+1), d)
	}

	f.list(t, map[string][]string{
		"records": {f.stand(t, "server"), f.stand(t, "server")},
		"billing": {f.stand(t, "server")},
	})

	return f
}

// TestWholePath takes a lookup, a fee and a target change through separate
// processes.
func TestWholePath(t *testing.T) {
	f := newFleet(t)
	first := f.nodes["vm-1"]

	out, code := cwtest.Run(t, f.carobward, "apply", "--vm", first.operators, "../../examples/atlas/targets.jsonc")
	if code != 0 || !strings.Contains(out, "Accepted as revision 1.") {
		t.Fatalf("apply: exit code %d\n%s", code, out)
	}

	f.inForce(t, 1)

	for vm, n := range f.nodes {
		out, _ = cwtest.Run(t, f.cwstand, "caller", "--lookup", n.lookup, "--domain", "Ifrane")
		if !strings.Contains(out, "GET /sheets/today") || !strings.HasPrefix(out, "200 ran vm-1 ") {
			t.Errorf("lookup by way of %s: %s", vm, out)
		}
	}

	out, _ = cwtest.Run(t, f.cwstand, "caller", "--lookup", first.lookup, "--method", "POST", "--uri", "/fees", "--body", "launch 17")
	if !strings.HasPrefix(out, "200 ran ") || !strings.HasSuffix(out, "POST /fees\nlaunch 17\n") {
		t.Errorf("fee: %s", out)
	}

	changed := cwtest.File(t, "targets.jsonc", `{"targets": [{"name": "launch-fee", "service": "billing", "promise": "once",
		"match": [{"method": "POST", "path": "/charges"}]}]}`)

	out, code = cwtest.Run(t, f.carobward, "apply", "--vm", f.nodes["vm-2"].operators, changed)
	if diff := cmp.Diff("put  launch-fee\nAccepted as revision 2.\nIn force on 3 entry VMs.\n", out); diff != "" || code != 0 {
		t.Fatalf("second apply: exit code %d\n%s", code, diff)
	}

	f.inForce(t, 2)

	out, code = cwtest.Run(t, f.cwstand, "caller", "--lookup", first.lookup, "--method", "POST", "--uri", "/fees")
	if code == 0 || !strings.Contains(out, "not-run") {
		t.Errorf("the old path is served still: %s", out)
	}

	first.process.Signal(t, syscall.SIGTERM)

	if err := first.process.Wait(t); err != nil {
		t.Errorf("graceful stop: %v", err)
	}
}
