package cwqueue

import "slices"

// The parameters of a Slowdown.
const (
	// slowdownSamples is how many health checks are remembered: those of a second or two
	// at one entry VM.
	slowdownSamples = 32
	// slowdownMinSamples is how many are needed for an estimate.
	slowdownMinSamples = 8
	// slowdownQuantile is the fraction of servers that are faster than the estimate. A few
	// fast servers among many slow ones are worth waiting for: if a quarter are fast, a
	// check of four servers finds a fast one two times in three.
	slowdownQuantile = 0.25
)

// Slowdown estimates by which factor servers are slower than usual now, from health
// checks. Without it, while all servers are slow but have room, requests wait for a fast
// one, and four in ten are refused in the end. It is not safe for concurrent use.
type Slowdown struct {
	samples  []float64
	next     int
	estimate float64
}

// Add adds the time of one server that has no other request, in usual response times.
func (s *Slowdown) Add(unloaded float64) {
	if len(s.samples) < slowdownSamples {
		s.samples = append(s.samples, unloaded)
	} else {
		s.samples[s.next] = unloaded
	}

	s.next = (s.next + 1) % slowdownSamples

	if len(s.samples) < slowdownMinSamples {
		return
	}

	sorted := slices.Clone(s.samples)
	slices.Sort(sorted)
	s.estimate = sorted[int(slowdownQuantile*float64(len(sorted)))]
}

// Now returns the estimate, or 1 if there is none or servers are faster than usual.
func (s *Slowdown) Now() float64 { return max(1, s.estimate) }
