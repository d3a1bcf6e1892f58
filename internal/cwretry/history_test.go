package cwretry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwtest"
)

// The operators' bound in histories of restarts.
const (
	boundShare = 0.2
	boundSpan  = 10 * time.Second
	// fixedEach is the fixed part of the bound for each entry VM of the fleet's first moment.
	fixedEach = 1.6
)

// The parameters of histories of restarts.
const (
	historyStep  = 50 * time.Millisecond
	historySteps = int(40 * time.Second / historyStep)
	spanSteps    = int(boundSpan / historyStep)
	// usedShare is the part of the bound that entry VMs use, the rest may be saved up.
	usedShare = 0.9
	// requestsEach is the number of requests a second of each entry VM before the load changes.
	requestsEach = 6.0
	// retrySteps is how long after its request an extra call reaches a server at most.
	retrySteps = 2
	maxSends   = 3
	// maxViewLag is how late an entry VM sees that the fleet has grown, keepSteps for how long
	// one that has gone still counts.
	maxViewLag = int(2 * time.Second / historyStep)
	keepSteps  = int(30 * time.Second / historyStep)
	// unreadSteps is how long callers wait for an entry VM that reads nothing.
	unreadSteps = int(time.Second / historyStep)
	maxDown     = int(1500 * time.Millisecond / historyStep)
)

// fleetVM is an entry VM of a history. Its window is nil while it has no process.
type fleetVM struct {
	window      *cwretry.Window
	startsAt    int
	suspendedTo int
	lag         int
	unread      []int
}

// restartHistory plays requests, refusals by servers and restarts of entry VMs, and counts at the
// servers.
type restartHistory struct {
	rnd   *rand.Rand
	begin time.Time
	vms   []*fleetVM
	fixed float64
	// refusing has the share of sends that servers refuse in a step, load the factor of the load.
	refusing, load func(step int) float64
	// events changes the entry VMs in a step.
	events func(h *restartHistory, step int)
	// claims are the claims of the extra calls that requests ask for.
	claims []cwretry.Claim
	// moved is the share of the requests that go to the first half of the entry VMs in a step. It
	// may be nil: then all get the same.
	moved func(step int) float64

	// sizes has the size of the fleet in each step, largest the largest of the last keepSteps.
	sizes, largest []int
	// requests has when callers sent requests, extras when servers received extra calls.
	requests, extras []time.Time
}

func newRestartHistory(seed uint64, vms int) *restartHistory {
	h := &restartHistory{
		rnd: rand.New(rand.NewPCG(seed, 3)), begin: time.Unix(1_700_000_000, 0), fixed: fixedEach * float64(vms),
		claims:   []cwretry.Claim{cwretry.Needed, cwretry.Needed, cwretry.Refused, cwretry.RefusedLate, cwretry.Overdue},
		refusing: func(int) float64 { return 0 }, load: func(int) float64 { return 1 }, events: func(*restartHistory, int) {},
	}

	for range vms {
		v := h.add()
		// Processes that have run for long.
		v.window = h.newWindow(h.begin.Add(-time.Hour - time.Duration(h.rnd.Int64N(int64(boundSpan)))))
	}

	return h
}

func (h *restartHistory) newWindow(now time.Time) *cwretry.Window {
	limit := cwretry.Limit{Share: usedShare * boundShare, Burst: (1 - usedShare) * boundShare, Span: boundSpan}

	return cwretry.NewWindow(limit, now, h.rnd.Float64())
}

func (h *restartHistory) add() *fleetVM {
	v := &fleetVM{startsAt: -keepSteps, lag: h.rnd.IntN(maxViewLag)}
	h.vms = append(h.vms, v)

	return v
}

func (h *restartHistory) at(step int) time.Time {
	return h.begin.Add(time.Duration(step) * historyStep)
}

// kill ends the process of an entry VM. The next one starts after some steps.
func (h *restartHistory) kill(v *fleetVM, step int) {
	v.window, v.unread, v.suspendedTo = nil, nil, 0
	v.startsAt = step + 1 + h.rnd.IntN(maxDown)
}

// replace removes an entry VM for good and adds another one.
func (h *restartHistory) replace(index, step int) {
	h.vms[index] = &fleetVM{startsAt: step + 1 + h.rnd.IntN(maxDown), lag: h.rnd.IntN(maxViewLag)}
}

// size returns the size of the fleet as an entry VM sees it. One that has just started sees
// nobody else.
func (h *restartHistory) size(v *fleetVM, step int) int {
	const alone = int(300 * time.Millisecond / historyStep)

	if step < v.startsAt+alone {
		return 1
	}

	return h.largest[max(0, step-v.lag)]
}

// run plays the history.
func (h *restartHistory) run() {
	for step := range historySteps {
		h.events(h, step)
		h.sizes = append(h.sizes, len(h.vms))
		h.largest = append(h.largest, slices.Max(h.sizes[max(0, step-keepSteps):]))

		var running []*fleetVM

		for _, v := range h.vms {
			if v.window == nil && step >= v.startsAt {
				v.window = h.newWindow(h.at(step))
			}

			if v.window != nil {
				running = append(running, v)
			}
		}

		h.send(running, step)

		for _, v := range running {
			h.serve(v, step)
		}
	}
}

// send sends the requests of a step to entry VMs that run. Those that callers can't send
// aren't counted, though the rule counts them.
func (h *restartHistory) send(running []*fleetVM, step int) {
	if len(running) == 0 {
		return
	}

	mean := requestsEach * h.load(step) * float64(len(h.vms)) * historyStep.Seconds()

	for range int(mean + h.rnd.Float64()) {
		v := running[h.rnd.IntN(len(running))]
		if h.moved != nil {
			half := (len(running) + 1) / 2

			v = running[(half+h.rnd.IntN(max(1, len(running)-half)))%len(running)]
			if h.rnd.Float64() < h.moved(step) {
				v = running[h.rnd.IntN(half)]
			}
		}

		h.requests = append(h.requests, h.at(step))
		v.unread = append(v.unread, step)
	}
}

// serve handles the requests that an entry VM has.
func (h *restartHistory) serve(v *fleetVM, step int) {
	if step < v.suspendedTo {
		return
	}

	now := h.at(step)
	fixed := usedShare * h.fixed / float64(h.size(v, step))
	served := 0

	for _, sent := range v.unread {
		if step-sent < unreadSteps {
			v.window.Request(now)
			served++
		}
	}

	v.unread = nil

	for range served {
		for range maxSends - 1 {
			if h.rnd.Float64() >= h.refusing(step) || !v.window.Take(now, fixed, h.claims[h.rnd.IntN(len(h.claims))]).Granted() {
				break
			}

			h.extras = append(h.extras, h.at(step+h.rnd.IntN(retrySteps)))
		}
	}
}

// between returns a function that is value from one second to another, and other elsewhere.
func between(from, to, value, other float64) func(step int) float64 {
	return func(step int) float64 {
		if at := float64(step) * historyStep.Seconds(); at >= from && at < to {
			return value
		}

		return other
	}
}

// every calls do each gap seconds from one second to another.
func every(from, to, gap float64, do func(h *restartHistory, step, round int)) func(h *restartHistory, step int) {
	return func(h *restartHistory, step int) {
		first, last, each := int(from/historyStep.Seconds()), int(to/historyStep.Seconds()), max(1, int(gap/historyStep.Seconds()))
		if step >= first && step < last && (step-first)%each == 0 {
			do(h, step, (step-first)/each)
		}
	}
}

// killEach kills a share of the entry VMs.
func killEach(share float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, step, _ int) {
		for _, v := range h.vms {
			if h.rnd.Float64() < share {
				h.kill(v, step)
			}
		}
	}
}

// roll kills the entry VMs in their order, a share of them at a time.
func roll(share float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, step, round int) {
		count := max(1, int(share*float64(len(h.vms))))
		for i := range count {
			h.kill(h.vms[(round*count+i)%len(h.vms)], step)
		}
	}
}

// replaceRoll is like roll, with entry VMs that go for good and others that come.
func replaceRoll(share float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, step, round int) {
		count := max(1, int(share*float64(len(h.vms))))
		for i := range count {
			h.replace((round*count+i)%len(h.vms), step)
		}
	}
}

// suspendEach suspends a share of the entry VMs for some seconds.
func suspendEach(share, seconds float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, step, _ int) {
		for _, v := range h.vms {
			if h.rnd.Float64() < share {
				v.suspendedTo = step + int(seconds/historyStep.Seconds())
			}
		}
	}
}

func grow(share float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, step, _ int) {
		for range int(share * float64(len(h.vms))) {
			h.add().startsAt = step
		}
	}
}

func shrink(share float64) func(h *restartHistory, step, round int) {
	return func(h *restartHistory, _, _ int) {
		h.vms = h.vms[:max(1, int((1-share)*float64(len(h.vms))))]
	}
}

// join plays several kinds of events.
func join(all ...func(h *restartHistory, step int)) func(h *restartHistory, step int) {
	return func(h *restartHistory, step int) {
		for _, f := range all {
			f(h, step)
		}
	}
}

// randomLoad returns a load that changes every few seconds.
func (h *restartHistory) randomLoad() func(step int) float64 {
	length := 1 + h.rnd.IntN(spanSteps)
	factors := make([]float64, historySteps/length+1)

	for i := range factors {
		factors[i] = 0.1 + 1.4*h.rnd.Float64()
	}

	return func(step int) float64 { return factors[step/length] }
}

// randomEvents returns events of one kind in series, from about the time at which servers begin to
// refuse.
func (h *restartHistory) randomEvents(from float64) func(h *restartHistory, step int) {
	share := 0.05 + 0.95*h.rnd.Float64()
	begin := from - 1.5 + 8*h.rnd.Float64()
	kinds := []func(h *restartHistory, step, round int){
		killEach(share), killEach(1), roll(share / 4), roll(0.02), replaceRoll(share / 4), suspendEach(share, 2.5*h.rnd.Float64()),
	}

	return every(begin, begin+8*h.rnd.Float64(), 0.2+2*h.rnd.Float64(), kinds[h.rnd.IntN(len(kinds))])
}

// check plays the history and compares its extra calls with the bound.
func (h *restartHistory) check(t *testing.T) {
	t.Helper()
	h.run()

	limit := cwtest.ExtraLimit{Share: boundShare, Fixed: h.fixed, Span: boundSpan}

	w := limit.Worst(h.requests, h.extras)
	if float64(w.Extras) > w.Allowed {
		t.Errorf("%d extra calls in %s from %s on, %.0f allowed", w.Extras, boundSpan, w.From.Sub(h.begin), w.Allowed)
	}

	t.Logf("worst: %.3f of the bound", float64(w.Extras)/w.Allowed)
}

// count returns how many times are in the seconds that follow another one.
func (h *restartHistory) count(list []time.Time, from, seconds float64) float64 {
	n := 0

	for _, at := range list {
		if since := at.Sub(h.begin).Seconds() - from; since >= 0 && since < seconds {
			n++
		}
	}

	return float64(n)
}
