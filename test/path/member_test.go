package path

import (
	"fmt"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"carobward.example/carobward/internal/cwtest"
)

// sees waits until each of some entry VMs sees a VM in a state.
func (f *fleet) sees(t *testing.T, by []string, vm, state string) {
	t.Helper()

	line := regexp.MustCompile(fmt.Sprintf(`(?m)^%s .* %s +\d+$`, vm, state))

	for _, b := range by {
		cwtest.Wait(t, fmt.Sprintf("%s sees %s as %s", b, vm, state), func() bool {
			out, _ := cwtest.Run(t, f.carobward, "status", "--vm", f.nodes[b].operators)

			return line.MatchString(out)
		})
	}
}

// TestMembers freezes an entry VM until it is taken for dead and resumes it,
// kills one and starts it on the same address, and offers one that has
// another key.
func TestMembers(t *testing.T) {
	t.Parallel()

	more := peersKey(t)
	f := newStopFleet(t, more, "127.0.0.1:9")
	others := []string{"vm-1", "vm-2"}
	last := f.nodes["vm-3"]

	last.process.Signal(t, syscall.SIGSTOP)
	f.sees(t, others, "vm-3", "dead")
	last.process.Signal(t, syscall.SIGCONT)
	f.sees(t, others, "vm-3", "live")
	f.sees(t, []string{"vm-3"}, "vm-1", "live")

	last.process.Signal(t, syscall.SIGKILL)
	f.sees(t, others, "vm-3", "(suspect|dead)")
	f.serveAt(t, "vm-3", "Ifrane", last, more)
	f.sees(t, []string{"vm-1", "vm-2"}, "vm-3", "live")

	const open = "127.0.0.1:0"

	stranger := fmt.Sprintf(`"keys": {"peers": %q},`, cwtest.File(t, "other.key", strings.Repeat("a5", 16)))
	f.serveAt(t, "vm-4", "Ifrane", &node{callers: open, lookup: open, peers: open, operators: open}, stranger)
	f.list(t, nil)
	cwtest.Wait(t, "the stranger was refused", func() bool {
		return strings.Contains(f.nodes["vm-1"].process.Output()+f.nodes["vm-2"].process.Output()+
			f.nodes["vm-3"].process.Output(), "A connection was refused.")
	})

	for vm, n := range f.nodes {
		out, _ := cwtest.Run(t, f.carobward, "status", "--vm", n.operators)
		if known := strings.Contains(out, "vm-4 "); known != (vm == "vm-4") {
			t.Errorf("%s sees:\n%s", vm, out)
		}
	}
}
