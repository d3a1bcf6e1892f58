package cwmesh

import (
	"fmt"
	"slices"
	"time"

	"carobward.example/carobward"
)

// The bounds of what callers may be told, and the parameters of histories.
const (
	// namedTime is how long after its end an entry VM may still be named to callers.
	namedTime = 6 * time.Second
	// inTouchTime is for how long an entry VM has run without a pause when its answers are checked.
	inTouchTime = 3 * time.Second
	// maxSuspension is the longest suspension of an entry VM, maxStay how long one that is
	// stopping goes on at most.
	maxSuspension = 40 * time.Second
	maxStay       = 5 * time.Second
)

// directoryHistory is a fleet whose entry VMs come and go. It checks whom callers are told of.
type directoryHistory struct {
	*sim

	domains int
	// ended has when the process at an address last ended, leaving when one that still runs
	// began to stop.
	ended, leaving map[carobward.Address]time.Time
	// runs has since when an entry VM has run without a pause.
	runs map[*simVM]time.Time
	// removed are the entry VMs that never start again.
	removed map[*simVM]bool
	// listed is the list of the fleet in the store, listNext when it is next brought up to date.
	// While the store is silent, it is neither written nor read.
	listed   []Summary
	listNext time.Time
	silent   bool
	// slack is added to namedTime, for the time that datagrams are in transit.
	slack    time.Duration
	replaced int
	answers  int
	problems []string
}

func newDirectoryHistory(seed uint64, domains, each int) *directoryHistory {
	h := &directoryHistory{
		sim: newDividedSim(seed, domains*each, domains), domains: domains,
		ended: map[carobward.Address]time.Time{}, leaving: map[carobward.Address]time.Time{},
		runs: map[*simVM]time.Time{}, removed: map[*simVM]bool{},
	}

	for _, v := range h.vms {
		h.prepare(v)
	}

	return h
}

// prepare sets up an entry VM before its first start: its clock shows another time than the others.
func (h *directoryHistory) prepare(v *simVM) {
	v.clock = time.Duration(h.rnd.Int64N(int64(24 * time.Hour)))
	v.onStart = func(v *simVM) {
		h.runs[v] = h.now
		delete(h.leaving, v.node.Callers)
		v.mesh.AddSeeds(h.someRunning())

		if !h.silent {
			v.mesh.Table.AddListed(h.listed, v.Now())
		}
	}
}

// updateList writes the list of the fleet to the store as an entry VM does that finds it outdated.
func (h *directoryHistory) updateList() {
	const interval = time.Second

	if h.silent || h.now.Before(h.listNext) {
		return
	}

	h.listNext = h.now.Add(interval)

	v := h.vms[h.rnd.IntN(len(h.vms))]
	if !v.alive || v.suspended || v.stopped || v.mesh.State() != Ready {
		return
	}

	if fleet := v.mesh.Table.Fleet(v.Now(), Ready); IsOutdated(h.listed, fleet) {
		h.listed = fleet
	}
}

// someRunning returns the addresses of some entry VMs that run: the platform gives new ones such
// seeds.
func (h *directoryHistory) someRunning() []carobward.Address {
	var list []carobward.Address

	for _, at := range h.rnd.Perm(len(h.vms)) {
		if v := h.vms[at]; v.alive && len(list) < simSeeds {
			list = append(list, v.node.Peers)
		}
	}

	return list
}

// play advances the clock and checks the answers meanwhile.
func (h *directoryHistory) play(d time.Duration) {
	next := h.now

	h.run(d, func() {
		if h.now.Before(next) {
			return
		}

		next = h.now.Add(simCheckInterval)

		h.updateList()

		for _, v := range h.vms {
			if v.alive && !v.suspended && !v.stopped && h.now.Sub(h.runs[v]) >= inTouchTime {
				h.checkAnswer(v)
			}
		}
	})
}

// named returns all entry VMs that an entry VM may name to callers, wherever these are.
func (v *simVM) named() []Node {
	now, t := v.Now(), v.mesh.Table

	var list []Node

	for _, p := range t.Live(now) {
		if p.State == Ready && p.IsProven(now) {
			list = append(list, p.Node)
		}
	}

	for _, d := range t.Domains(now) {
		list = append(list, t.Callable(d.Domain, now)...)
	}

	return list
}

// checkAnswer checks that nobody is named who ended or began to stop long ago.
func (h *directoryHistory) checkAnswer(v *simVM) {
	h.answers++

	for _, n := range v.named() {
		at := h.byPeers[n.Peers]
		if ended := h.ended[n.Callers]; !at.alive && h.now.Sub(ended) > namedTime+h.slack {
			h.fault("%s names %s, which ended %s before", v.node.ID, n.ID, h.now.Sub(ended))
		}

		if since, ok := h.leaving[n.Callers]; ok && at.alive && h.now.Sub(since) > namedTime+h.slack {
			h.fault("%s names %s, which began to stop %s before", v.node.ID, n.ID, h.now.Sub(since))
		}
	}
}

func (h *directoryHistory) fault(format string, args ...any) {
	const maxProblems = 5

	if len(h.problems) < maxProblems {
		h.problems = append(h.problems, fmt.Sprintf(format, args...))
	}
}

// running returns the entry VMs of a failure domain that run, in a random order.
func (h *directoryHistory) running(d carobward.Domain) []*simVM {
	var list []*simVM

	for _, at := range h.rnd.Perm(len(h.vms)) {
		if v := h.vms[at]; v.alive && v.node.Domain == d {
			list = append(list, v)
		}
	}

	return list
}

func (h *directoryHistory) randomTime(longest time.Duration) time.Duration {
	return time.Duration(h.rnd.Int64N(int64(longest)))
}

func (h *directoryHistory) randomDomain() carobward.Domain {
	return carobward.Domain(fmt.Sprintf("hall-%d", h.rnd.IntN(h.domains)))
}

// end ends a process without notice.
func (h *directoryHistory) end(v *simVM) {
	v.stop()

	v.suspended, v.stopped = false, false
	h.ended[v.node.Callers] = h.now
	delete(h.leaving, v.node.Callers)
}

// leave makes an entry VM stop in order, which takes a while.
func (h *directoryHistory) leave(v *simVM) {
	v.mesh.SetState(Leaving)

	h.leaving[v.node.Callers] = h.now
	h.play(h.randomTime(maxStay))
	h.end(v)
}

// suspend suspends an entry VM for a while, which its clock does not count.
func (h *directoryHistory) suspend(v *simVM) {
	v.suspended = true
	by := h.randomTime(maxSuspension)
	h.play(by)

	if !v.alive {
		return
	}

	h.resume(v, by)
}

// resume ends a suspension.
func (h *directoryHistory) resume(v *simVM, by time.Duration) {
	v.suspended = false
	v.clock -= by
	v.pending = by
	h.runs[v] = h.now
	h.play(time.Duration(h.rnd.IntN(2)) * simStep) // It may send before it learns of its suspension.
	v.pending = 0
	v.mesh.Suspended(by)
}

// pause stops the process of an entry VM for a while: what is sent to it waits.
func (h *directoryHistory) pause(v *simVM) {
	v.stopped = true
	h.play(h.randomTime(maxSuspension))

	if v.alive {
		v.stopped = false
		h.runs[v] = h.now
	}
}

// replace ends an entry VM for good and starts another one at its address.
func (h *directoryHistory) replace(v *simVM) {
	h.end(v)
	h.removed[v] = true
	h.play(h.randomTime(2 * namedTime))
	h.replaceNow(v)
}

// replaceNow starts another entry VM at the address of one that has ended.
func (h *directoryHistory) replaceNow(v *simVM) *simVM {
	h.replaced++
	next := h.add(fmt.Sprintf("%s-%d", v.node.ID, h.replaced), slices.Index(h.vms, v), h.domains)
	next.node = Node{ID: next.node.ID, Domain: v.node.Domain, Callers: v.node.Callers, Peers: v.node.Peers, Relay: v.node.Relay}
	h.byPeers[v.node.Peers] = next
	h.prepare(next)
	next.startAt = h.now.Add(simStep)

	return next
}

// empty removes all entry VMs of a failure domain but one, and then troubles the last one.
func (h *directoryHistory) empty(d carobward.Domain) {
	list := h.running(d)
	if len(list) == 0 {
		return
	}

	last := list[0]

	for _, v := range list[1:] {
		h.end(v)
		h.removed[v] = h.rnd.IntN(2) == 0
	}

	h.play(h.randomTime(2 * namedTime))
	h.trouble(last)
}

// trouble ends or pauses one entry VM in one of several ways.
func (h *directoryHistory) trouble(v *simVM) {
	switch h.rnd.IntN(6) {
	case 0:
		h.end(v)
	case 1:
		h.leave(v)
	case 2:
		h.suspend(v)
	case 3:
		h.pause(v)
	case 4:
		h.replace(v)
	default:
		h.restart(v)
	}
}

// restart stops an entry VM several times in series and starts it again.
func (h *directoryHistory) restart(v *simVM) {
	for range 1 + h.rnd.IntN(3) {
		h.leave(v)
		h.play(h.randomTime(time.Second))
		v.startAt = h.now.Add(simStep)
		h.play(h.randomTime(3 * time.Second))

		if !v.alive {
			return
		}
	}
}

// disturb makes trouble of one kind, in links or for entry VMs.
func (h *directoryHistory) disturb() {
	h.silent = h.rnd.IntN(4) == 0

	switch h.rnd.IntN(5) {
	case 0:
		h.empty(h.randomDomain())
	case 1: // Two failure domains at once, the last one of the first is still stopping.
		if list := h.running(h.randomDomain()); len(list) > 0 {
			list[0].mesh.SetState(Leaving)
			h.leaving[list[0].node.Callers] = h.now
			h.empty(h.randomDomain())

			if list[0].alive {
				h.end(list[0])
			}
		}
	case 2:
		if list := h.running(h.randomDomain()); len(list) > 0 {
			h.trouble(list[0])
		}
	case 3:
		h.cutSome()
	default: // Some of those that ended come back.
		for _, v := range h.vms {
			if !v.alive && !h.removed[v] && h.rnd.IntN(2) == 0 {
				v.startAt = h.now.Add(h.randomTime(simSpread))
			}
		}
	}

	h.play(h.randomTime(2 * namedTime))
}

// cutSome cuts links between failure domains: one way, all of one, or all but those of neighbours,
// so that most reach each other only through others.
func (h *directoryHistory) cutSome() {
	clear(h.cutLinks)

	kind := h.rnd.IntN(4)
	one := h.rnd.IntN(h.domains)

	for a := range h.domains {
		for b := range h.domains {
			cut := false

			switch kind {
			case 0:
				cut = a == one && h.rnd.IntN(2) == 0
			case 1:
				cut = a != b && (a == one || b == one)
			case 2:
				cut = a-b > 1 || b-a > 1
			default: // All are mended.
			}

			if cut {
				h.cutLinks[simLink{carobward.Domain(fmt.Sprintf("hall-%d", a)), carobward.Domain(fmt.Sprintf("hall-%d", b))}] = true
			}
		}
	}
}

// mend ends all trouble: each failure domain has an entry VM again.
func (h *directoryHistory) mend() {
	clear(h.cutLinks)
	h.loss, h.jitter, h.silent = 0, 0, false

	for d := range h.domains {
		domain := carobward.Domain(fmt.Sprintf("hall-%d", d))

		for _, v := range h.vms {
			if v.node.Domain != domain {
				continue
			}

			if v.alive && v.mesh.State() == Leaving {
				h.end(v)
			}

			if !v.alive && h.byPeers[v.node.Peers] == v {
				v.startAt = h.now.Add(h.randomTime(simSpread))
			}
		}
	}

	h.play(simDeathTime)
}

// checkCalm checks that each entry VM names some of each failure domain, and all of its own.
func (h *directoryHistory) checkCalm() {
	for _, v := range h.vms {
		if !v.alive {
			continue
		}

		if got, want := 1+len(v.mesh.Table.Live(v.Now())), len(h.running(v.node.Domain)); got != want {
			h.fault("%s knows %d of %d entry VMs of its failure domain", v.node.ID, got, want)
		}

		for d := range h.domains {
			domain := carobward.Domain(fmt.Sprintf("hall-%d", d))
			if domain != v.node.Domain && len(v.mesh.Table.Callable(domain, v.Now())) == 0 {
				h.fault("%s names nobody of %s", v.node.ID, domain)
			}
		}
	}
}
