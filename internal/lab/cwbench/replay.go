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

// Parameters that all patterns share.
const (
	replayService = carobward.Service("records")
	// networkDelay is the one-way delay of the network, checkDelay the time of a
	// health check.
	networkDelay = time.Millisecond
	checkDelay   = 3 * time.Millisecond
	// workSpread is the sigma of the lognormal distribution of work.
	workSpread = 0.3
	// maxRetries is how often a caller retries after a refusal.
	maxRetries = 1
	// reconnectDelay is the time after which a caller whose first packet was lost
	// tries to connect again.
	reconnectDelay = time.Second
	// aftermath is the time after a disturbance during which arriving requests still
	// count.
	aftermath = time.Second
)

// replayDomain returns the failure domain of the entry VM or server at an index.
func replayDomain(index int) carobward.Domain {
	return carobward.Domain([]string{"a", "b", "c"}[index%3])
}

// replay is the simulation of one pattern with one way.
type replay struct {
	pattern  *Pattern
	way      *Way
	timeline timeline
	rng      *rand.Rand
	servers  []*replayServer
	vms      []*replayVM
	fleet    *replayFleet
	result   *ReplayResult
}

// replayRequest is the request of one caller over all its attempts.
type replayRequest struct {
	run *replay
	// began is the time of the first attempt, until the time at which the caller
	// gives up.
	began, until time.Time
	// heldSince is when it arrived at an entry VM that holds it, or zero.
	heldSince time.Time
	attempt   int
	vm        *replayVM
	// rank is its priority, 0 the most urgent.
	rank     int
	schedule cwqueue.Schedule
	// checked reports that the first health checks of this attempt are over.
	checked bool
	// retried reports whether the caller has probably retried after a refusal, sends
	// is the number of sends of this attempt, and tried has the servers that got it.
	retried bool
	sends   int
	tried   map[*cwbackend.Server]bool
	// aloneRetried is the estimate of the way "alone" whether the caller has retried.
	aloneRetried bool
	// parked counts the pauses, so that an old timer does not end a later pause.
	parked  int
	waiting bool
	done    bool
}

// Turn implements cwqueue.Waiter.
func (r *replayRequest) Turn() *cwqueue.Schedule { return &r.schedule }

// Replay simulates a pattern with each of the ways and the same new requests.
func Replay(p Pattern, ways []Way, parallel int) ([]*ReplayResult, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}

	m := iter.Mapper[Way, *ReplayResult]{MaxGoroutines: parallel}

	return m.Map(ways, func(w *Way) *ReplayResult { return newReplay(p, w).run() }), nil
}

func newReplay(p Pattern, way *Way) *replay {
	w := &replay{pattern: &p, way: way, rng: random(p.Seed, streamChoices)}
	w.result = &ReplayResult{Pattern: p.Name, Way: way.Name, Series: make([]ReplayStep, int(p.Length/replayStepLength)+1)}

	for i := range p.Servers {
		w.servers = append(w.servers, &replayServer{run: w, index: i, rng: random(p.Seed+uint64(i), streamSpeeds)})
	}

	vms := p.VMs
	if way.Central {
		vms = 1
	}

	for i := range vms {
		w.vms = append(w.vms, newReplayVM(w, i, vms, w.now().Add(-extraWindow)))
	}

	w.fleet = newReplayFleet(w, vms)

	return w
}

func (w *replay) now() time.Time { return epoch.Add(w.timeline.now) }

func (w *replay) run() *ReplayResult {
	rng := random(w.pattern.Seed, streamArrivals)
	w.arrive(rng)

	if w.admissionUsed() {
		w.fleet.start()
	}

	if d := w.pattern.PowerLoss; d.To > 0 {
		w.timeline.add(d.From, w.losePower)
	}

	for w.timeline.next() {
	}

	slices.Sort(w.result.took)

	if n := len(w.result.took); n > 0 {
		w.result.P99 = w.result.took[n*99/100]
	}

	return w.result
}

// arrive schedules the next new request.
func (w *replay) arrive(rng *rand.Rand) {
	p := w.pattern
	gap := rng.ExpFloat64() / (p.Rate * p.factor(w.timeline.now))
	wait := p.Wait - time.Duration(rng.Float64()*p.WaitSpread*float64(p.Wait))

	if w.timeline.now+time.Duration(gap*float64(time.Second)) >= p.Length {
		return
	}

	w.timeline.after(time.Duration(gap*float64(time.Second)), func() {
		r := &replayRequest{run: w, began: w.now(), until: w.now().Add(wait)}
		if len(p.Ranks) > 1 {
			r.rank = p.drawRank(rng.Float64())
		}

		w.connect(r)
		w.arrive(rng)
	})
}

// connect passes a request to an entry VM, after a delay if the entry VMs have no
// power.
func (w *replay) connect(r *replayRequest) {
	d := w.pattern.PowerLoss

	switch {
	case !w.now().Before(r.until):
		w.finish(r, false, false)
	case d.contains(w.timeline.now):
		w.timeline.after(reconnectDelay, func() { w.connect(r) })
	case w.pattern.CopyTime > 0 && !w.way.Central:
		w.connectStarted(r)
	default:
		r.vm = w.pickVM()
		r.vm.accept(r)
	}
}

// connectStarted passes a request to an entry VM that has started. Callers learn at once
// that one does not listen yet, and try others.
func (w *replay) connectStarted(r *replayRequest) {
	v := w.pickVM()

	for range w.vms {
		if w.timeline.now >= v.started {
			r.vm = v
			v.accept(r)

			return
		}

		v = w.pickVM()
	}

	w.timeline.after(networkDelay, func() { w.connect(r) })
}

// pickVM returns the entry VM that a caller uses: a random one, or one of the first
// failure domain for the callers that Skew affects.
func (w *replay) pickVM() *replayVM {
	v := w.vms[w.rng.IntN(len(w.vms))]

	if l := w.pattern.Skew; l.contains(w.timeline.now) && w.rng.Float64() < l.Share {
		for !w.way.Central && v.domain != replayDomain(0) {
			v = w.vms[w.rng.IntN(len(w.vms))]
		}
	}

	return v
}

// losePower discards the state of all entry VMs and fails the requests that they
// have.
func (w *replay) losePower() {
	for i, old := range w.vms {
		for r := range old.inFlight {
			w.finish(r, false, false)
		}

		w.vms[i] = newReplayVM(w, i, len(w.vms), epoch.Add(w.pattern.PowerLoss.To))
		w.vms[i].startAfter(w.pattern.PowerLoss.To)
	}

	w.fleet.lose()
}

// refuse tells a caller when to retry, or refuses it for good after its last retry.
func (w *replay) refuse(r *replayRequest, after time.Duration) {
	delete(r.vm.inFlight, r)

	// Callers wait for up to a third of the time that they have left.
	after = min(after, r.until.Sub(w.now())/3)

	if r.attempt >= maxRetries {
		w.finish(r, false, true)

		return
	}

	r.attempt++
	w.result.Retried++
	w.timeline.after(after, func() { w.connect(r) })
}

// finish records the end of a request.
func (w *replay) finish(r *replayRequest, answered, refused bool) {
	if r.done {
		return
	}

	r.done = true

	if r.vm != nil {
		delete(r.vm.inFlight, r)
	}

	took := w.now().Sub(r.began)
	late := took > w.pattern.Objective
	at := r.began.Sub(epoch)
	step := &w.result.Series[int(at/replayStepLength)]

	switch {
	case answered && !late:
		step.InTime++
	case answered:
		step.Late++
	case refused:
		step.Refused++
	}

	if w.counts(at) {
		w.result.count(took, answered, late, refused, !w.pattern.PowerLoss.contains(at))
		w.result.countRank(r.rank, answered, late, refused)
	}
}
