package cwtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Cost is what a process has used so far.
type Cost struct {
	// Processor is the time on a processor.
	Processor time.Duration
	// Resident is the memory now, in bytes.
	Resident int64
}

// The fields of proc(5)'s stat after the program's name, from zero, and the
// kernel's clock ticks a second as programs see them.
const (
	statUser   = 11
	statSystem = 12
	statPages  = 21
	clockTicks = 100
)

// Cost reads what the process has used.
func (p *Process) Cost(t testing.TB) Cost {
	t.Helper()

	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		t.Fatalf("cost: %v", err)
	}

	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	number := func(i int) int64 {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			t.Fatalf("cost: %v", err)
		}

		return n
	}

	return Cost{
		Processor: time.Duration(number(statUser)+number(statSystem)) * time.Second / clockTicks,
		Resident:  number(statPages) * int64(os.Getpagesize()),
	}
}
