package cwstand

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Slowdown is a period in which a server runs slower. From and To are relative
// to the start of the server's speed schedule.
type Slowdown struct {
	From, To time.Duration
	// Factor is how many times slower the server is. Infinity stops all work.
	Factor float64
}

// Noise describes random slowdowns by a noisy neighbour.
type Noise struct {
	// Every is the mean time from the end of one slowdown to the start of the
	// next.
	Every time.Duration
	// For is the duration of a slowdown.
	For time.Duration
	// Factor is how many times slower the server is during a slowdown.
	Factor float64
}

// Slowdowns returns random slowdowns until the horizon. The gaps between them are
// uniformly distributed between 0.5 and 1.5 times Every.
func (n Noise) Slowdowns(seed uint64, horizon time.Duration) []Slowdown {
	if n.Every <= 0 || n.For <= 0 {
		return nil
	}

	var slowdowns []Slowdown

	rng := rand.New(rand.NewPCG(seed, 0))
	at := time.Duration(rng.Float64() * float64(n.Every))

	for at < horizon {
		slowdowns = append(slowdowns, Slowdown{From: at, To: at + n.For, Factor: n.Factor})
		at += n.For + n.Every/2 + time.Duration(rng.Float64()*float64(n.Every))
	}

	return slowdowns
}

// Speed is the speed of a server over time, as a step function. It is computed
// in advance, so that repeated runs see the same server.
type Speed struct {
	at   []time.Duration
	rate []float64
}

// NewSpeed returns the speed that results from slowdowns. Where they overlap,
// their factors multiply.
func NewSpeed(slowdowns []Slowdown) *Speed {
	s := &Speed{at: []time.Duration{0}}
	for _, p := range slowdowns {
		s.at = append(s.at, p.From, p.To)
	}

	slices.Sort(s.at)
	s.at = slices.Compact(s.at)

	for _, at := range s.at {
		rate := 1.0

		for _, p := range slowdowns {
			if p.From <= at && at < p.To {
				rate /= p.Factor
			}
		}

		s.rate = append(s.rate, rate)
	}

	return s
}

// step returns the index of the step in effect at a time.
func (s *Speed) step(at time.Duration) int {
	return max(sort.Search(len(s.at), func(i int) bool { return s.at[i] > at })-1, 0)
}

// Rate returns the speed at a time, 1 for full speed.
func (s *Speed) Rate(at time.Duration) float64 { return s.rate[s.step(at)] }

// Work returns the amount of work done between two times, as the time that it
// takes at full speed.
func (s *Speed) Work(from, to time.Duration) time.Duration {
	done := 0.0

	for i := s.step(from); i < len(s.at) && s.at[i] < to; i++ {
		end := to
		if i+1 < len(s.at) {
			end = min(end, s.at[i+1])
		}

		done += float64(end-max(from, s.at[i])) * s.rate[i]
	}

	return time.Duration(done)
}

// Forever is the end time of work that never ends.
const Forever = time.Duration(math.MaxInt64)

// Finish returns the time at which work ends that starts at the given time. The
// work is given as the time that it takes at full speed.
func (s *Speed) Finish(start, work time.Duration) time.Duration {
	left := float64(work)
	now := start

	for i := s.step(start); i < len(s.at); i++ {
		if i+1 == len(s.at) {
			break
		}

		done := float64(s.at[i+1]-now) * s.rate[i]
		if done >= left && s.rate[i] > 0 { // No work ends while the server stands still.
			return now + time.Duration(left/s.rate[i])
		}

		left -= done
		now = s.at[i+1]
	}

	left /= s.rate[len(s.rate)-1]
	if left >= float64(Forever-now) {
		return Forever
	}

	return now + time.Duration(left)
}
