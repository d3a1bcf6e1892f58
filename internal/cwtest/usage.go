package cwtest

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"carobward.example/carobward"
)

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PeakMemory returns the largest resident memory that the process has had.
func (p *Process) PeakMemory(t testing.TB) carobward.ByteCount {
	t.Helper()

	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}

	_, rest, _ := strings.Cut(string(raw), "VmHWM:")

	var n int64
	if _, err := fmt.Sscanf(rest, "%d", &n); err != nil {
		t.Fatalf("the peak of the resident memory: %v", err)
	}

	return carobward.ByteCount(n) * carobward.Kilobyte
}

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors(t testing.TB) int {
	t.Helper()

	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		t.Fatal(err)
	}

	return len(list)
}
