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
func sees(t *testing.T, f *cwtest.Fleet, by []string, vm, state string) {
	t.Helper()

	line := regexp.MustCompile(fmt.Sprintf(`(?m)^%s .* %s +\d+$`, vm, state))

	for _, b := range by {
		cwtest.Wait(t, fmt.Sprintf("%s sees %s as %s", b, vm, state), func() bool {
			out, _ := cwtest.Run(t, f.Carobward, "status", "--vm", f.VMs[b].Operators)

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
	last := f.VMs["vm-3"]

	last.Process.Signal(t, syscall.SIGSTOP)
	sees(t, f, others, "vm-3", "dead")
	last.Process.Signal(t, syscall.SIGCONT)
	sees(t, f, others, "vm-3", "live")
	sees(t, f, []string{"vm-3"}, "vm-1", "live")

	last.Process.Signal(t, syscall.SIGKILL)
	sees(t, f, others, "vm-3", "(suspect|dead)")
	f.StartVMAt(t, "vm-3", *last, more)
	sees(t, f, []string{"vm-1", "vm-2"}, "vm-3", "live")

	const open = "127.0.0.1:0"

	stranger := fmt.Sprintf(`"keys": {"peers": %q},`, cwtest.File(t, "other.key", strings.Repeat("a5", 16)))
	f.StartVMAt(t, "vm-4", cwtest.EntryVM{Domain: "Ifrane", Callers: open, Lookup: open, Peers: open, Operators: open}, stranger)
	f.List(t)
	cwtest.Wait(t, "the stranger was refused", func() bool {
		return strings.Contains(f.VMs["vm-1"].Process.Output()+f.VMs["vm-2"].Process.Output()+
			f.VMs["vm-3"].Process.Output(), "A connection was refused.")
	})

	for vm, n := range f.VMs {
		out, _ := cwtest.Run(t, f.Carobward, "status", "--vm", n.Operators)
		if known := strings.Contains(out, "vm-4 "); known != (vm == "vm-4") {
			t.Errorf("%s sees:\n%s", vm, out)
		}
	}
}

// TestReplaced replaces an entry VM while it is frozen. The old run must stop
// when it resumes, and the new one stay.
func TestReplaced(t *testing.T) {
	t.Parallel()

	const open = "127.0.0.1:0"

	more := peersKey(t)
	f := newStopFleet(t, more, "127.0.0.1:9")
	old := f.VMs["vm-2"]

	old.Process.Signal(t, syscall.SIGSTOP)
	f.StartVMAt(t, "vm-2", cwtest.EntryVM{Domain: "Ifrane", Callers: open, Lookup: open, Peers: open, Operators: open}, more)
	f.List(t)
	sees(t, f, []string{"vm-2"}, "vm-1", "live")
	f.InForce(t, 1, 3)
	old.Process.Signal(t, syscall.SIGCONT)

	if err := old.Process.Wait(t); err == nil || err.Error() != "exit status 1" {
		t.Errorf("exit: %v", err)
	}

	if !strings.Contains(old.Process.Output(), "A later run of this VM has taken its place.") {
		t.Error("the cause is not logged")
	}

	sees(t, f, []string{"vm-1", "vm-3"}, "vm-2", "live")
}
