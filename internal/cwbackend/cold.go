package cwbackend

import (
	"time"

	"carobward.example/carobward"
)

// A cold server bears few requests a second, from all entry VMs together, and ends under
// more. Its bound is divided, see sharers. It answers the return of many servers at once
// under a burst, where each entry VM by itself would see an idle server.

// ColdBound is what cold servers of a service bear.
type ColdBound struct {
	// Rate is the requests a second that a cold server tolerates, Overshoot the number
	// of times as many that it may get, and Slack further requests in any one second.
	// There is no bound where Rate is 0.
	Rate      float64
	Overshoot float64
	Slack     float64
}

// most returns how many requests a cold server may get in one second by our division, 0
// where there is no bound.
func (b ColdBound) most() int {
	if b.Rate <= 0 {
		return 0
	}

	// Settings that do not name the overshoot mean none, and not that servers bear nothing.
	return max(1, int(sharePart*(b.Rate*max(1, b.Overshoot)+b.Slack)))
}

// SetColdBounds tells what cold servers of each service bear.
func (t *Table) SetColdBounds(bounds map[carobward.Service]ColdBound) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.cold = bounds
}

// coldAllowance returns this entry VM's part of what a server bears while it is cold; the
// mutex is held.
func (t *Table) coldAllowance(b *carobward.Backend, warm, now time.Time) allowance {
	bound := t.cold[b.Service]
	if bound.Rate <= 0 || !now.Before(warm) {
		return allowance{}
	}

	return allowance{most: t.part(b, bound.most(), t.sharers.size, now), window: shareWindow, until: warm}
}

func (s *Server) isCold(now time.Time) bool { return now.Before(s.warmAt()) }

// warmAt returns until when the server is cold.
func (s *Server) warmAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.warm
}
