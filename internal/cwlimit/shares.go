package cwlimit

import (
	"sync"

	"carobward.example/carobward"
)

// Shares bounds the requests in flight of each target to a share of the total,
// so that an overloaded target leaves room for the others.
type Shares struct {
	maxInFlight int

	mutex    sync.Mutex
	inFlight map[carobward.TargetName]int
	counts   map[carobward.TargetName]int
}

// NewShares returns the shares of at most maxTotal requests in flight.
func NewShares(maxTotal int) *Shares {
	maxInFlight := max(1, int(maxTargetShare*float64(maxTotal)))

	return &Shares{maxInFlight: maxInFlight, inFlight: map[carobward.TargetName]int{}, counts: map[carobward.TargetName]int{}}
}

// Enter counts a request of a target. It returns false if the target's share is
// used up.
func (s *Shares) Enter(t carobward.TargetName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.counts[t]++

	if s.inFlight[t] >= s.maxInFlight {
		return false
	}

	s.inFlight[t]++

	return true
}

// Leave records the end of a request that Enter admitted.
func (s *Shares) Leave(t carobward.TargetName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.inFlight[t]--; s.inFlight[t] == 0 {
		delete(s.inFlight, t)
	}
}

// Counts returns the number of requests of each target since the previous call
// of Counts, including refused ones.
func (s *Shares) Counts() map[carobward.TargetName]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	counts := s.counts
	s.counts = map[carobward.TargetName]int{}

	return counts
}
