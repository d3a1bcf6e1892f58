package cwpick

import "time"

// The figures of what is learned from answers.
const (
	// usualFirst is the time of an answer where none is known, as a part of
	// the objective: servers are fit for their objectives.
	usualFirst = 0.4
	// usualShare is the weight of one answer in a moving average.
	usualShare = 0.05
	// crowdShare is the least weight of one answer of a crowded server. They are
	// few, and a burst is over in seconds, so that the first ones weigh more: with 60
	// entry VMs 0.73 of the requests are in time in bursts, 0.68 with 0.1 for each
	// (carobward bench worst --pattern bursts --vms 60 --seeds 12).
	crowdShare = 0.1
	// crowdFirst is how many times longer answers take at crowded servers
	// where it is not known, coldFirst at cold ones, and factorMost bounds what is
	// learned.
	crowdFirst = 1.3
	coldFirst  = 2
	factorMost = 4
)

// Factors are how many times longer answers take where something slows a server down,
// beside the slowness of its machine.
type Factors struct {
	// Crowd is for servers above the part of their slots at which some slow down, Cold
	// for those that have just started.
	Crowd, Cold float64
}

// factor is a moving average of how many times longer answers take, and how many it is
// of.
type factor struct {
	mean    float64
	answers int
}

// learn takes how many times longer one answer took.
func (f *factor) learn(times float64) {
	f.answers++
	f.mean += max(crowdShare, 1/float64(1+f.answers)) * (min(factorMost, max(1, times)) - f.mean)
}

// Times is what the answers of one service tell of how long its servers take. It
// is not safe for use by several goroutines.
type Times struct {
	// usual is the moving average of the time of an answer on a machine at its
	// usual speed, by the objective of the route: routes with other objectives
	// ask for other work.
	usual       map[time.Duration]float64
	crowd, cold factor
}

// NewTimes returns what is assumed where nothing is known.
func NewTimes() *Times {
	return &Times{usual: map[time.Duration]float64{}, crowd: factor{mean: crowdFirst}, cold: factor{mean: coldFirst}}
}

// Usual returns the usual time of an answer on routes with an objective.
func (t *Times) Usual(objective time.Duration) time.Duration {
	if u := t.usual[objective]; u > 0 {
		return time.Duration(u)
	}

	return time.Duration(usualFirst * float64(objective))
}

// Crowding returns how many times longer answers take at crowded servers.
func (t *Times) Crowding() float64 { return t.crowd.mean }

// Factors returns how many times longer answers take at slowed servers.
func (t *Times) Factors() Factors { return Factors{Crowd: t.crowd.mean, Cold: t.cold.mean} }

// Learn takes the time of one answer, with the slowness of the server's machine
// when the request was sent, and whether the server was crowded or cold then. One that
// was both tells nothing of either.
func (t *Times) Learn(objective, took time.Duration, slowness float64, crowded, cold bool) {
	usual := float64(t.Usual(objective))
	own := float64(took) / max(1, slowness)

	switch {
	case crowded && cold:
	case crowded:
		t.crowd.learn(own / usual)
	case cold:
		t.cold.learn(own / usual)
	default:
		t.usual[objective] = usual + usualShare*(own-usual)
	}
}
