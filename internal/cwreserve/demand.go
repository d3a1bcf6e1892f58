package cwreserve

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the moving average of demand. A class without new
	// requests counts as inactive after about four times demandTime.
	demandTime = time.Second
	// minDemand is the decayed number of requests below which a class is inactive.
	minDemand = 0.02
)

// demand is the number of recent requests of a class. It decays exponentially with demandTime.
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

// asks reports whether the class is active: whether there were recent requests.
func (d *demand) asks(now time.Time) bool { return d.recent(now) >= minDemand }

// expected returns how many requests to expect within reserveTime, at least one.
func (d *demand) expected(now time.Time) float64 {
	mean := d.recent(now) / demandTime.Seconds() * reserveTime.Seconds()

	return max(1, mean+deviations*math.Sqrt(mean))
}
