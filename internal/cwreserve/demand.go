package cwreserve

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which demand is averaged. A class that stops asking is
	// forgotten after some four times of it.
	demandTime = time.Second
	// minDemand is the decayed number of requests below which a class does not ask.
	minDemand = 0.02
)

// demand is the number of requests of a class, decaying with demandTime.
type demand struct {
	sum float64
	at  time.Time
}

// add adds n requests.
func (d *demand) add(n int, now time.Time) { d.sum, d.at = d.recent(now)+float64(n), now }

// recent returns the decayed number of requests.
func (d *demand) recent(now time.Time) float64 {
	return d.sum * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandTime.Seconds())
}

// asks reports whether there were requests lately.
func (d *demand) asks(now time.Time) bool { return d.recent(now) >= minDemand }

// expected returns how many requests to expect in reserveTime, one at least.
func (d *demand) expected(now time.Time) float64 {
	mean := d.recent(now) / demandTime.Seconds() * reserveTime.Seconds()

	return max(1, mean+deviations*math.Sqrt(mean))
}
