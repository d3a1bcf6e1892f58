package cwmesh

import "time"

// stamp identifies something that an entry VM states and others pass on. What is passed on
// carries its age, which leaves out the time in transit. Received again through other peers, it
// would look younger each time, and all the more so in a larger fleet, so each entry VM takes it
// only once.
type stamp struct {
	// boot identifies the run of the entry VM that made the statement, number is the number of
	// the statement in that run.
	boot, number uint64
}

// seenNumbers has the number of the newest statement of each run of an entry VM, by its boot.
type seenNumbers map[uint64]seenNumber

type seenNumber struct {
	number uint64
	at     time.Time
}

// maxSeenNumbers is how many runs are remembered. Those that have said nothing for the longest
// time are forgotten first; what they said is out of date by then.
const maxSeenNumbers = 256

// add records a stamp, and reports whether it is newer than all of the same run. One without a
// boot always is.
func (s seenNumbers) add(n stamp, now time.Time) bool {
	if n.boot == 0 {
		return true
	}

	old, ok := s[n.boot]
	if ok && n.number <= old.number {
		return false
	}

	if !ok && len(s) >= maxSeenNumbers {
		s.evictOldest()
	}

	s[n.boot] = seenNumber{n.number, now}

	return true
}

// evictOldest drops the run whose last statement came first.
func (s seenNumbers) evictOldest() {
	first := uint64(0)

	for boot, n := range s {
		if first == 0 || n.at.Before(s[first].at) {
			first = boot
		}
	}

	delete(s, first)
}
