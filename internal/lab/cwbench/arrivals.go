package cwbench

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// arrival is one request with its intended start.
type arrival struct {
	at   time.Duration
	work time.Duration
	once bool
	// selector, in [0, 1), selects the entry VM that the caller uses, whatever the
	// number of entry VMs that serve the target.
	selector float64
}

// Streams of random numbers that are derived from one seed.
const (
	streamArrivals = iota + 1
	streamFaults
	streamChoices
	streamSpeeds
	streamAdmission
)

func random(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// arrivals draws the Poisson arrivals of a run. Each gap depends on the load at the
// arrival before it, so a change of load takes effect with the next arrival.
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
			at:       at,
			work:     cwstand.Lognormal(s.Work, s.Spread, rng),
			once:     rng.Float64() < s.Once,
			selector: rng.Float64(),
		})
	}
}
