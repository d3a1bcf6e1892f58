package cwbench

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// arrival is one request as its caller meant to send it.
type arrival struct {
	at   time.Duration
	work time.Duration
	once bool
	// spot in [0, 1) says which of the entry VMs the caller uses, however
	// many carry the target.
	spot float64
}

// The streams of random numbers that one seed gives.
const (
	streamArrivals = iota + 1
	streamFaults
	streamChoices
	streamSpeeds
)

func random(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// arrivals draws the Poisson arrivals of a run. A change of load takes hold
// with the next arrival.
func (s *Scenario) arrivals() []arrival {
	var list []arrival

	rng := random(s.Seed, streamArrivals)

	for at := time.Duration(0); ; {
		rate := s.capacity() * s.loadAt(at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))

		if at >= s.end() {
			return list
		}

		list = append(list, arrival{
			at:   at,
			work: cwstand.Lognormal(s.Work, s.Spread, rng),
			once: rng.Float64() < s.Once,
			spot: rng.Float64(),
		})
	}
}
