package cwretry

import "time"

// newShare is the fraction of the fixed part that is for new processes, evenly over their first
// span. The rest is for those that have run for a span. So the part holds for both together: a
// process may use up the rest right before it ends.
const newShare = 0.1

// fixedPart is this entry VM's part of the extra calls that a span allows regardless of the number
// of requests.
type fixedPart struct {
	// spent has what was used in each bucket of the span.
	spent [buckets + 1]float64
	// paid is what requests of a new process have paid for, and the part of an extra call that
	// it began with.
	paid float64
}

// left returns what is left of a part for a process of an age.
func (p *fixedPart) left(part float64, age, span time.Duration) float64 {
	part = p.most(part, age, span)

	for _, n := range p.spent {
		part -= n
	}

	return max(0, part)
}

// most returns what would be left of a part if nothing had been used.
func (p *fixedPart) most(part float64, age, span time.Duration) float64 {
	known := (1 - newShare) * part
	if age >= span {
		return known
	}

	return min(known, p.paid+newShare*part*age.Seconds()/span.Seconds())
}

// repay pays back what was used, and then for what a new process lacks, with extra calls that
// requests have earned and that can't be saved up.
func (p *fixedPart) repay(earned float64) {
	for i := range p.spent {
		back := min(earned, p.spent[i])
		p.spent[i] -= back
		earned -= back
	}

	p.paid += earned
}
