package cwspread

import (
	"fmt"
	"strings"

	"carobward.example/carobward/internal/lab/cwstore"
)

// ScenarioVMs is how many entry VMs a System has at the start of a Scenario.
const ScenarioVMs = 3

// The targets and values of the scenarios.
const (
	fee    = "fee"
	gate   = "gate"
	first  = "one"
	second = "two"
)

// Scenario subjects a System to faults. It returns what is wrong at the end,
// such as an entry VM that lacks a value, or "" if nothing is.
type Scenario func(s System) string

// Scenarios returns the scenarios by name.
func Scenarios() map[string]Scenario {
	return map[string]Scenario{
		"an older store comes back":                       olderStore,
		"an empty store comes back":                       emptyStore,
		"two operators on one target":                     oneTarget,
		"two operators on two targets":                    twoTargets,
		"a lost reply, made again after another's change": lostReply,
		"an outage right after acceptance":                outage,
		"a newcomer in an outage":                         newcomer,
	}
}

func olderStore(s System) string {
	s.change(0, fee, first)
	s.settle()

	saved := s.platform().Save()

	s.view(1)
	s.change(1, fee, second)
	s.settle()
	s.platform().Restore(saved)
	s.settle()

	return missing(s, fee, second)
}

func emptyStore(s System) string {
	saved := s.platform().Save()

	s.change(0, fee, first)
	s.settle()
	s.platform().Restore(saved)
	s.settle()

	return missing(s, fee, first)
}

func oneTarget(s System) string {
	s.view(0)
	s.view(1)

	one, two := s.change(0, fee, first), s.change(1, fee, second)
	s.settle()

	if one && two {
		return "both changes were reported as accepted"
	}

	return missing(s, fee, first)
}

func twoTargets(s System) string {
	s.view(0)
	s.view(1)
	s.change(0, fee, first)
	s.change(1, gate, second)
	s.settle()

	return missing(s, fee, first) + missing(s, gate, second)
}

func lostReply(s System) string {
	s.view(0)

	s.platform().Fault = cwstore.Script("l", ".")
	s.change(0, fee, first)
	s.platform().Fault = nil

	s.settle()
	s.view(1)
	s.change(1, fee, second)
	s.change(0, fee, first)
	s.settle()

	return missing(s, fee, second)
}

func outage(s System) string {
	s.change(0, fee, first)

	s.platform().Fault = cwstore.Script("d", "d")
	s.settle()

	return missing(s, fee, first)
}

func newcomer(s System) string {
	s.change(0, fee, first)
	s.settle()

	s.platform().Fault = cwstore.Script("d", "d")
	if !s.join() {
		return "the new entry VM is not ready although its peers have the configuration"
	}

	return missing(s, fee, first)
}

// missing returns which entry VMs lack a value.
func missing(s System, name, value string) string {
	var wrong []string

	for i := range s.size() {
		if got := s.value(i, name); got != value {
			wrong = append(wrong, fmt.Sprintf("vm-%d has %q for %s, not %q", i, got, name, value))
		}
	}

	return strings.Join(wrong, "; ")
}
