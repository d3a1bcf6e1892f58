package cwbench

import (
	"github.com/sourcegraph/conc/iter"
)

// run is one simulation of a scenario with one variant.
type run struct {
	scenario *Scenario
	variant  *Variant
	timeline timeline
	backends []*backend
	entries  []*entry
	result   *Result
}

// Run simulates all variants in the scenario, each with the same arrivals and the
// same servers. Up to parallel variants run at once; the results do not depend on
// it.
func Run(s Scenario, variants []Variant, parallel int) ([]*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}

	arrivals := s.arrivals()
	m := iter.Mapper[Variant, *Result]{MaxGoroutines: parallel}

	return m.Map(variants, func(v *Variant) *Result { return runOne(&s, v, arrivals) }), nil
}

// RunSuite runs all scenarios of a suite with a number of consecutive seeds,
// starting with the seed of the scenario, and adds up the results of each pair of
// scenario and variant.
func RunSuite(s Suite, seeds, parallel int) ([]*Result, error) {
	var all []*Result

	for _, sc := range s.Scenarios {
		var sums []*Result

		for range max(seeds, 1) {
			list, err := Run(sc, s.Variants, parallel)
			if err != nil {
				return nil, err
			}

			sums = addResults(sums, list)
			sc.Seed++
		}

		all = append(all, sums...)
	}

	return all, nil
}

func addResults(sums, list []*Result) []*Result {
	if sums == nil {
		return list
	}

	for i := range sums {
		sums[i].add(list[i])
	}

	return sums
}

func runOne(s *Scenario, v *Variant, arrivals []arrival) *Result {
	r := &run{scenario: s, variant: v, result: newResult(s, v)}
	r.backends = newBackends(s, &r.timeline)

	carriers := s.VMs
	if v.Carriers > 0 {
		carriers = min(v.Carriers, s.VMs)
	}

	r.entries = make([]*entry, carriers)
	for i := range r.entries {
		r.entries[i] = newEntry(r, i)
	}

	r.arrive(arrivals)

	for r.timeline.next() {
	}

	for _, b := range r.backends {
		r.result.Servers = r.result.Servers.Add(b.counts)
	}

	r.result.trouble(r.backends)
	r.result.Quick.quantiles()
	r.result.Once.quantiles()

	return r.result
}

// arrive schedules the first arrival. Each arrival schedules the next one, which
// keeps the heap small.
func (r *run) arrive(list []arrival) {
	if len(list) == 0 {
		return
	}

	a := &list[0]
	r.timeline.add(a.at+r.scenario.Client, func() {
		r.arrive(list[1:])
		r.entries[int(a.selector*float64(len(r.entries)))].accept(a)
	})
}
