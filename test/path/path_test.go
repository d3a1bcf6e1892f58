// Package path tests the path of requests from callers through entry VMs to servers, all of
// them separate processes.
package path

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwtest"
)

func newFleet(t *testing.T) *cwtest.Fleet {
	t.Helper()

	f := cwtest.NewFleet(t)

	for i, d := range []string{"Ifrane", "Ouarzazate", "Azilal"} {
		f.StartVM(t, fmt.Sprintf("vm-%d", i+1), d)
	}

	for _, s := range []string{"records", "records", "billing"} {
		f.StartServer(t, s)
	}

	return f
}

// TestWholePath checks the replies to a lookup and a fee, and that a change of the targets
// takes effect on all entry VMs. In the end one entry VM must stop gracefully.
func TestWholePath(t *testing.T) {
	f := newFleet(t)
	first := f.VMs["vm-1"]

	out, code := cwtest.Run(t, f.Carobward, "apply", "--vm", first.Operators, "../../examples/atlas/targets.jsonc")
	if code != 0 || !strings.Contains(out, "Accepted as revision 1.") {
		t.Fatalf("apply: exit code %d\n%s", code, out)
	}

	f.WaitRevision(t, 1, 3)

	for vm, n := range f.VMs {
		// An entry VM omits its peers from lookup replies until it knows their
		// revisions, so other entry VMs may serve at first.
		cwtest.Wait(t, "lookup through "+vm+" served by vm-1", func() bool {
			out, _ = cwtest.Run(t, f.Stand, "caller", "--lookup", n.Lookup, "--domain", "Ifrane")
			if !strings.Contains(out, "GET /sheets/today") || !strings.HasPrefix(out, "200 ran vm-") {
				t.Fatalf("lookup through %s: %s", vm, out)
			}

			return strings.HasPrefix(out, "200 ran vm-1 ")
		})
	}

	out, _ = cwtest.Run(t, f.Stand, "caller", "--lookup", first.Lookup, "--method", "POST", "--uri", "/fees", "--body", "launch 17")
	if !strings.HasPrefix(out, "200 ran ") || !strings.HasSuffix(out, "POST /fees\nlaunch 17\n") {
		t.Errorf("fee: %s", out)
	}

	changed := cwtest.File(t, "targets.jsonc", `{"targets": [{"name": "launch-fee", "service": "billing", "promise": "once",
		"match": [{"method": "POST", "path": "/charges"}]}]}`)

	out, code = cwtest.Run(t, f.Carobward, "apply", "--vm", f.VMs["vm-2"].Operators, changed)
	if diff := cmp.Diff("put  launch-fee\nAccepted as revision 2.\nIn force on 3 entry VMs.\n", out); diff != "" || code != 0 {
		t.Fatalf("second apply: exit code %d\n%s", code, diff)
	}

	f.WaitRevision(t, 2, 3)

	out, code = cwtest.Run(t, f.Stand, "caller", "--lookup", first.Lookup, "--method", "POST", "--uri", "/fees")
	if code == 0 || !strings.Contains(out, "not-run") {
		t.Errorf("the old path is still served: %s", out)
	}

	first.Process.Signal(t, syscall.SIGTERM)

	if err := first.Process.Wait(t); err != nil {
		t.Errorf("graceful stop: %v", err)
	}
}
