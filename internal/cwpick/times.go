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
	// where it is not known, and crowdMost bounds what is learned.
	crowdFirst = 1.3
	crowdMost  = 4
)

// Times is what the answers of one service tell of how long its servers take. It
// is not safe for use by several goroutines.
type Times struct {
	// usual is the moving average of the time of an answer on a machine at its
	// usual speed, by the objective of the route: routes with other objectives
	// ask for other work.
	usual map[time.Duration]float64
	// crowd is the moving average of how many times longer answers take at
	// crowded servers, and answers how many that were.
	crowd   float64
	answers int
}

// NewTimes returns what is assumed where nothing is known.
func NewTimes() *Times { return &Times{usual: map[time.Duration]float64{}, crowd: crowdFirst} }

// Usual returns the usual time of an answer on routes with an objective.
func (t *Times) Usual(objective time.Duration) time.Duration {
	if u := t.usual[objective]; u > 0 {
		return time.Duration(u)
	}

	return time.Duration(usualFirst * float64(objective))
}

// Crowding returns how many times longer answers take at crowded servers.
func (t *Times) Crowding() float64 { return t.crowd }

// Learn takes the time of one answer, with the slowness of the server's machine
// when the request was sent, and whether the server was crowded then.
func (t *Times) Learn(objective, took time.Duration, slowness float64, crowded bool) {
	usual := float64(t.Usual(objective))
	own := float64(took) / max(1, slowness)

	if crowded {
		t.answers++
		t.crowd += max(crowdShare, 1/float64(1+t.answers)) * (min(crowdMost, max(1, own/usual)) - t.crowd)

		return
	}

	t.usual[objective] = usual + usualShare*(own-usual)
}
