package cwpick

import "time"

// The parameters of learning from response times.
const (
	// usualDefault is the assumed duration of a request before any is known, as a fraction of
	// the objective: servers are expected to meet their objectives.
	usualDefault = 0.4
	// usualWeight is the weight of one response in a moving average.
	usualWeight = 0.05
	// minFactorWeight is the least weight of one response in the average of a factor.
	// Responses of slowed servers are few and a burst is over in seconds, so the first ones
	// weigh more.
	minFactorWeight = 0.1
	// crowdDefault is the assumed factor by which responses take longer at crowded servers
	// before any is known, warmupDefault that at servers that are warming up. maxFactor bounds
	// the learned factors.
	crowdDefault  = 1.3
	warmupDefault = 2
	maxFactor     = 4
	// refusedWeight is the weight of one request in the average of refusals: an entry VM sends
	// a few requests a second, and the average follows within a second or two.
	refusedWeight = 0.1
)

// Factors are what is known of all servers of a service. Crowd and Warmup are the factors by
// which responses take longer at servers that are slowed, in addition to the slowness of the
// machine.
type Factors struct {
	// Crowd is for servers above the share of their slots in use at which some slow down,
	// Warmup for servers that are warming up.
	Crowd, Warmup float64
	// Refused is the share of requests that servers refuse although they have room. One that
	// refuses no more than the others isn't avoided.
	Refused float64
}

// factor is a moving average of the factor by which responses take longer, and the number of
// responses in it.
type factor struct {
	mean    float64
	answers int
}

// learn adds the factor of one response.
func (f *factor) learn(times float64) {
	f.answers++
	f.mean += max(minFactorWeight, 1/float64(1+f.answers)) * (min(maxFactor, max(1, times)) - f.mean)
}

// Times has the learned response times of the servers of one service. It is not safe for
// concurrent use.
type Times struct {
	// usual is the moving average of the response time on a machine at its usual speed, by the
	// objective of the route: routes with other objectives are for other kinds of requests.
	usual         map[time.Duration]float64
	crowd, warmup factor
	// refused is the moving average of the share of requests that were refused by servers
	// with room.
	refused float64
}

// NewTimes returns Times with the defaults.
func NewTimes() *Times {
	return &Times{usual: map[time.Duration]float64{}, crowd: factor{mean: crowdDefault}, warmup: factor{mean: warmupDefault}}
}

// Usual returns the usual response time on routes with an objective.
func (t *Times) Usual(objective time.Duration) time.Duration {
	if u := t.usual[objective]; u > 0 {
		return time.Duration(u)
	}

	return time.Duration(usualDefault * float64(objective))
}

// Crowding returns the factor by which responses take longer at crowded servers.
func (t *Times) Crowding() float64 { return t.crowd.mean }

// Factors returns the factors by which responses take longer at slowed servers.
func (t *Times) Factors() Factors {
	return Factors{Crowd: t.crowd.mean, Warmup: t.warmup.mean, Refused: t.refused}
}

// LearnRefusal adds whether a server with room refused a request.
func (t *Times) LearnRefusal(refused bool) {
	t.refused -= refusedWeight * t.refused

	if refused {
		t.refused += refusedWeight
	}
}

// Learn adds the duration of one response, with the slowness of the server's machine when the
// request was sent and whether the server was crowded or warming up then. If it was both, the
// duration cannot be attributed to either and is ignored.
func (t *Times) Learn(objective, took time.Duration, slowness float64, crowded, warming bool) {
	usual := float64(t.Usual(objective))
	own := float64(took) / max(1, slowness)

	switch {
	case crowded && warming:
	case crowded:
		t.crowd.learn(own / usual)
	case warming:
		t.warmup.learn(own / usual)
	default:
		t.usual[objective] = usual + usualWeight*(own-usual)
	}
}
