package cwbackend

import (
	"time"

	"carobward.example/carobward"
)

// A server that is warming up tolerates few requests a second from all entry VMs together, and
// crashes under more. Its rate is divided, see sharers. The worst case is many servers that
// restart at once during a burst: to each entry VM, which counts only its own requests, they
// would look idle.

// WarmupBound is the request rate that servers of a service tolerate while they are warming up.
type WarmupBound struct {
	// Rate is the tolerated number of requests a second, Overshoot the factor by which it may
	// be exceeded, and Slack the number of additional requests in any one second. A Rate of 0
	// means no bound.
	Rate      float64
	Overshoot float64
	Slack     float64
}

// budget returns how many requests the entry VMs divide for a server in one second, 0 if there
// is no bound.
func (b WarmupBound) budget() int {
	if b.Rate <= 0 {
		return 0
	}

	// An overshoot of 0 means that none is set, not that servers tolerate nothing.
	return max(1, int(dividedShare*(b.Rate*max(1, b.Overshoot)+b.Slack)))
}

// SetWarmupBounds sets the rates for servers that are warming up, by service.
func (t *Table) SetWarmupBounds(bounds map[carobward.Service]WarmupBound) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.warmupBounds = bounds
}

// warmupAllowance returns this entry VM's share of the rate that a server tolerates while it
// is warming up. The mutex must be held.
func (t *Table) warmupAllowance(b *carobward.Backend, warm, now time.Time) allowance {
	bound := t.warmupBounds[b.Service]
	if bound.Rate <= 0 || !now.Before(warm) {
		return allowance{}
	}

	return allowance{maxRequests: t.share(b, bound.budget(), t.sharers.size, now), window: minWindow, until: warm}
}

func (s *Server) isWarming(now time.Time) bool { return now.Before(s.warmAt()) }

// warmAt returns when the server is warmed up.
func (s *Server) warmAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.warmedUpAt()
}
