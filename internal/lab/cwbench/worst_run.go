package cwbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwqueue"
)

// The figures of the model that patterns share.
const (
	worstService = carobward.Service("records")
	// worstWay is the time of the network one way, worstLook that of a look.
	worstWay  = time.Millisecond
	worstLook = 3 * time.Millisecond
	// worstSpread is the spread of work.
	worstSpread = 0.3
	// worstRetries is how often a caller comes back.
	worstRetries = 1
	// worstLost is when a caller tries again whose opening packet was lost.
	worstLost = time.Second
	// worstAfter is how long after trouble requests still count.
	worstAfter = time.Second
)

// worstDomain is the failure domain of a VM or server at a place.
func worstDomain(place int) carobward.Domain {
	return carobward.Domain([]string{"a", "b", "c"}[place%3])
}

// worst is one pattern under one way.
type worst struct {
	pattern  *Pattern
	way      *Way
	timeline timeline
	rng      *rand.Rand
	servers  []*worstServer
	vms      []*worstVM
	result   *WorstResult
}

// worstRequest is one caller's request over its attempts.
type worstRequest struct {
	run *worst
	// began is when the caller began, until when it gives up.
	began, until time.Time
	attempt      int
	vm           *worstVM
	turn         cwqueue.Schedule
	// back tells that the caller has probably come back after a refusal, sends how
	// often this attempt was sent, tried to which servers.
	back  bool
	sends int
	tried map[*cwbackend.Server]bool
	// returned is what the way "alone" takes for a caller that has come back.
	returned bool
	// parked counts the pauses, so that an old timer does not end a new one.
	parked int
	waits  bool
	done   bool
}

// Turn implements cwqueue.Waiter.
func (r *worstRequest) Turn() *cwqueue.Schedule { return &r.turn }

// RunWorst runs a pattern under some ways, each with the same requests.
func RunWorst(p Pattern, ways []Way, parallel int) ([]*WorstResult, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}

	m := iter.Mapper[Way, *WorstResult]{MaxGoroutines: parallel}

	return m.Map(ways, func(w *Way) *WorstResult { return newWorst(p, w).run() }), nil
}

func newWorst(p Pattern, way *Way) *worst {
	w := &worst{pattern: &p, way: way, rng: random(p.Seed, streamChoices)}
	w.result = &WorstResult{Pattern: p.Name, Way: way.Name, Series: make([]WorstStep, int(p.Length/worstStep)+1)}

	for i := range p.Servers {
		w.servers = append(w.servers, &worstServer{run: w, place: i, rng: random(p.Seed+uint64(i), streamSpeeds)})
	}

	vms := p.VMs
	if way.Central {
		vms = 1
	}

	for i := range vms {
		w.vms = append(w.vms, newWorstVM(w, i, vms))
	}

	return w
}

func (w *worst) now() time.Time { return epoch.Add(w.timeline.now) }

func (w *worst) run() *WorstResult {
	rng := random(w.pattern.Seed, streamArrivals)
	w.arrive(rng)

	if d := w.pattern.Dark; d.To > 0 {
		w.timeline.add(d.From, w.darken)
	}

	for w.timeline.next() {
	}

	slices.Sort(w.result.took)

	if n := len(w.result.took); n > 0 {
		w.result.P99 = w.result.took[n*99/100]
	}

	return w.result
}

// arrive adds the next new request.
func (w *worst) arrive(rng *rand.Rand) {
	p := w.pattern
	gap := rng.ExpFloat64() / (p.Rate * p.factor(w.timeline.now))
	wait := p.Wait - time.Duration(rng.Float64()*p.WaitSpread*float64(p.Wait))

	if w.timeline.now+time.Duration(gap*float64(time.Second)) >= p.Length {
		return
	}

	w.timeline.after(time.Duration(gap*float64(time.Second)), func() {
		r := &worstRequest{run: w, began: w.now(), until: w.now().Add(wait)}
		w.connect(r)
		w.arrive(rng)
	})
}

// connect brings a request to an entry VM, later where that has no power.
func (w *worst) connect(r *worstRequest) {
	d := w.pattern.Dark

	switch {
	case !w.now().Before(r.until):
		w.finish(r, false, false)
	case d.holds(w.timeline.now):
		w.timeline.after(worstLost, func() { w.connect(r) })
	default:
		r.vm = w.pickVM()
		r.vm.take(r)
	}
}

// pickVM returns the entry VM that a caller chooses: any, or one of the first failure
// domain for so many callers as lean to it.
func (w *worst) pickVM() *worstVM {
	v := w.vms[w.rng.IntN(len(w.vms))]

	if l := w.pattern.Lean; l.holds(w.timeline.now) && w.rng.Float64() < l.Share {
		for !w.way.Central && v.domain != worstDomain(0) {
			v = w.vms[w.rng.IntN(len(w.vms))]
		}
	}

	return v
}

// darken loses all that entry VMs know and carry.
func (w *worst) darken() {
	for i, old := range w.vms {
		for r := range old.carried {
			w.finish(r, false, false)
		}

		w.vms[i] = newWorstVM(w, i, len(w.vms))
	}
}

// refuse tells a caller when to come back, or for good.
func (w *worst) refuse(r *worstRequest, after time.Duration) {
	delete(r.vm.carried, r)

	// Callers wait for a third of the time that they have left at most.
	after = min(after, r.until.Sub(w.now())/3)

	if r.attempt >= worstRetries {
		w.finish(r, false, true)

		return
	}

	r.attempt++
	w.result.Back++
	w.timeline.after(after, func() { w.connect(r) })
}

// finish counts the end of a request.
func (w *worst) finish(r *worstRequest, answered, refused bool) {
	if r.done {
		return
	}

	r.done = true

	if r.vm != nil {
		delete(r.vm.carried, r)
	}

	took := w.now().Sub(r.began)
	late := took > w.pattern.Objective
	at := r.began.Sub(epoch)
	step := &w.result.Series[int(at/worstStep)]

	switch {
	case answered && !late:
		step.InTime++
	case answered:
		step.Late++
	case refused:
		step.Refused++
	}

	if w.counts(at) {
		w.result.count(took, answered, late, refused, !w.pattern.Dark.holds(at))
	}
}
