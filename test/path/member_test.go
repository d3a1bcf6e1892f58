package path

import (
	"fmt"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"carobward.example/carobward/internal/cwtest"
)

// waitState waits until the status of each of the given entry VMs shows a VM in a state.
func waitState(t *testing.T, f *cwtest.Fleet, by []string, vm, state string) {
	t.Helper()

	line := regexp.MustCompile(fmt.Sprintf(`(?m)^%s .* %s +\d+$`, vm, state))

	for _, b := range by {
		cwtest.Wait(t, fmt.Sprintf("%s sees %s as %s", b, vm, state), func() bool {
			out, _ := cwtest.Run(t, f.Carobward, "status", "--vm", f.VMs[b].Operators)

			return line.MatchString(out)
		})
	}
}

// TestMembers pauses an entry VM until its peers consider it dead and resumes it, kills it
// and starts it again on the same addresses, and starts one with another key, which the
// others must refuse.
func TestMembers(t *testing.T) {
	t.Parallel()

	more := peersKey(t)
	f := newStopFleet(t, more, "127.0.0.1:9")
	others := []string{"vm-1", "vm-2"}
	last := f.VMs["vm-3"]

	last.Process.Signal(t, syscall.SIGSTOP)
	waitState(t, f, others, "vm-3", "dead")
	last.Process.Signal(t, syscall.SIGCONT)
	waitState(t, f, others, "vm-3", "live")
	waitState(t, f, []string{"vm-3"}, "vm-1", "live")

	last.Process.Signal(t, syscall.SIGKILL)
	waitState(t, f, others, "vm-3", "(suspect|dead)")
	f.StartVMAt(t, "vm-3", *last, more)
	waitState(t, f, []string{"vm-1", "vm-2"}, "vm-3", "live")

	const anyPort = "127.0.0.1:0"

	otherKey := fmt.Sprintf(`"keys": {"peers": %q},`, cwtest.File(t, "other.key", strings.Repeat("a5", 16)))
	f.StartVMAt(t, "vm-4", cwtest.EntryVM{Domain: "Ifrane", Callers: anyPort, Lookup: anyPort, Peers: anyPort, Operators: anyPort}, otherKey)
	f.PublishList(t)
	cwtest.Wait(t, "the entry VM with another key was refused", func() bool {
		return strings.Contains(f.VMs["vm-1"].Process.Output()+f.VMs["vm-2"].Process.Output()+
			f.VMs["vm-3"].Process.Output(), "A connection was refused.")
	})

	for vm, n := range f.VMs {
		out, _ := cwtest.Run(t, f.Carobward, "status", "--vm", n.Operators)
		if known := strings.Contains(out, "vm-4 "); known != (vm == "vm-4") {
			t.Errorf("status of %s:\n%s", vm, out)
		}
	}
}

// TestReplaced starts a new process of an entry VM while the old one is paused. The old
// process must stop when it resumes, and the new one must stay.
func TestReplaced(t *testing.T) {
	t.Parallel()

	const anyPort = "127.0.0.1:0"

	more := peersKey(t)
	f := newStopFleet(t, more, "127.0.0.1:9")
	old := f.VMs["vm-2"]

	old.Process.Signal(t, syscall.SIGSTOP)
	f.StartVMAt(t, "vm-2", cwtest.EntryVM{Domain: "Ifrane", Callers: anyPort, Lookup: anyPort, Peers: anyPort, Operators: anyPort}, more)
	f.PublishList(t)
	waitState(t, f, []string{"vm-2"}, "vm-1", "live")
	f.WaitRevision(t, 1, 3)
	old.Process.Signal(t, syscall.SIGCONT)

	if err := old.Process.Wait(t); err == nil || err.Error() != "exit status 1" {
		t.Errorf("the old process exited with %v", err)
	}

	if !strings.Contains(old.Process.Output(), "A later run of this VM has taken its place.") {
		t.Error("the reason of the exit is not logged")
	}

	waitState(t, f, []string{"vm-1", "vm-3"}, "vm-2", "live")
}
