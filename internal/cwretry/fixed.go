package cwretry

// fixedPart is this entry VM's part of the extra calls that a span allows regardless of the number
// of requests. The process before may have used all of it right before it ended, so it is closed to
// a new process for a span. Until then requests open it, with tokens that can't be saved up.
type fixedPart struct {
	// used has what was used in each bucket of the span.
	used [buckets + 1]float64
	// opened is how much is open to a new process.
	opened float64
}

// available returns how much of a part is not used. Open reports that the process has run for a
// span.
func (p *fixedPart) available(part float64, open bool) float64 {
	part = p.size(part, open)

	for _, n := range p.used {
		part -= n
	}

	return max(0, part)
}

// size returns how much of a part is open.
func (p *fixedPart) size(part float64, open bool) float64 {
	if open {
		return part
	}

	return min(part, p.opened)
}

// refill takes tokens for what was used, and then for what is closed.
func (p *fixedPart) refill(tokens float64) {
	for i := range p.used {
		back := min(tokens, p.used[i])
		p.used[i] -= back
		tokens -= back
	}

	p.opened += tokens
}
