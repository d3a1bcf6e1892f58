package cwtest

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"carobward.example/carobward"
)

// The fields of a process's status in /proc with its resident memory now, and at the most.
const (
	fieldResident = "VmRSS:"
	fieldPeak     = "VmHWM:"
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

// Memory returns the resident memory of the process, or 0 if it has ended.
func (p *Process) Memory() carobward.ByteCount { return p.memory(fieldResident) }

// PeakMemory returns the largest resident memory that the process has had, or 0 if it has ended.
func (p *Process) PeakMemory() carobward.ByteCount { return p.memory(fieldPeak) }

func (p *Process) memory(field string) carobward.ByteCount {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}

	_, rest, _ := strings.Cut(string(raw), field)

	var n int64
	if _, err := fmt.Sscanf(rest, "%d", &n); err != nil {
		return 0
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
