// Package cwcost reads the processor time and memory that processes use.
package cwcost

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Cost is what a process has used so far.
type Cost struct {
	// Processor is the processor time, user and system.
	Processor time.Duration
	// Resident is the current resident memory, in bytes.
	Resident int64
}

// The indexes of fields in /proc/PID/stat, from zero at the first field after
// the program's name, and the length of a kernel clock tick as programs see it,
// see proc(5).
const (
	statUser   = 11
	statSystem = 12
	statPages  = 21
	clockTick  = 10 * time.Millisecond
)

// Of returns what a process has used.
func Of(pid int) (Cost, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Cost{}, errors.Annotate(err, "cost")
	}

	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	if len(fields) <= statPages {
		return Cost{}, errors.Errorf("cost: the stat of process %d has %d fields", pid, len(fields))
	}

	var numbers [statPages + 1]int64

	for _, i := range []int{statUser, statSystem, statPages} {
		numbers[i], err = strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return Cost{}, errors.Annotate(err, "cost")
		}
	}

	return Cost{
		Processor: time.Duration(numbers[statUser]+numbers[statSystem]) * clockTick,
		Resident:  numbers[statPages] * int64(os.Getpagesize()),
	}, nil
}

// Sum returns the sum of what processes have used.
func Sum(pids []int) (Cost, error) {
	var sum Cost

	for _, p := range pids {
		c, err := Of(p)
		if err != nil {
			return sum, err
		}

		sum.Processor += c.Processor
		sum.Resident += c.Resident
	}

	return sum, nil
}
