package cwlimit

import (
	"sync"

	"carobward.example/carobward"
)

// Shares bounds the requests in flight of each target to a share of all, so
// that one target with too many leaves room for the others.
type Shares struct {
	most int

	mutex   sync.Mutex
	running map[carobward.TargetName]int
	counts  map[carobward.TargetName]int
}

// NewShares returns shares of calls requests in flight.
func NewShares(calls int) *Shares {
	most := max(1, int(classShare*float64(calls)))

	return &Shares{most: most, running: map[carobward.TargetName]int{}, counts: map[carobward.TargetName]int{}}
}

// Enter counts a request of a target, or returns false if it has its share.
func (s *Shares) Enter(t carobward.TargetName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.counts[t]++

	if s.running[t] >= s.most {
		return false
	}

	s.running[t]++

	return true
}

// Leave notes the end of a request that entered.
func (s *Shares) Leave(t carobward.TargetName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.running[t]--; s.running[t] == 0 {
		delete(s.running, t)
	}
}

// Counts returns the requests of each target since it was last called, those
// refused among them.
func (s *Shares) Counts() map[carobward.TargetName]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	counts := s.counts
	s.counts = map[carobward.TargetName]int{}

	return counts
}
