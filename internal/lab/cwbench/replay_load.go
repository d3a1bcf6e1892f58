package cwbench

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwadmit"
)

const (
	// loadInterval is the time between two heartbeats of an entry VM.
	loadInterval = time.Second
	// relayDelay is the mean time until the sums of another failure domain are known: it
	// sends them each second, and those that get them pass them on with their heartbeats.
	relayDelay = time.Second
)

// replayFleet has the load that the entry VMs have reported to one another.
type replayFleet struct {
	run *replay
	rng *rand.Rand
	// told has the last heartbeat of each entry VM, sums those of each failure domain, and
	// known what the other failure domains know of it.
	told  []carobward.ServiceLoad
	sums  map[carobward.Domain]*carobward.DomainLoad
	known map[carobward.Domain]carobward.DomainLoad
}

func newReplayFleet(w *replay, vms int) *replayFleet {
	f := &replayFleet{
		run: w, rng: random(w.pattern.Seed, streamAdmission), told: make([]carobward.ServiceLoad, vms),
		sums: map[carobward.Domain]*carobward.DomainLoad{}, known: map[carobward.Domain]carobward.DomainLoad{},
	}

	for i := range vms {
		d := replayDomain(i)
		if f.sums[d] == nil {
			f.sums[d] = &carobward.DomainLoad{Domain: d}
		}

		f.sums[d].VMs++
	}

	return f
}

// start schedules the heartbeats, of which each entry VM sends the first at a time of its own.
func (f *replayFleet) start() {
	for i := range f.told {
		f.run.timeline.after(time.Duration(float64(i)/float64(len(f.told))*float64(loadInterval)), func() { f.tell(i) })
	}

	for i := range min(3, len(f.told)) {
		f.run.timeline.after(loadInterval, func() { f.publish(replayDomain(i)) })
	}
}

// over reports whether all requests have arrived, so that the simulation can end.
func (f *replayFleet) over() bool { return f.run.timeline.now > f.run.pattern.Length }

// lose discards the reported load.
func (f *replayFleet) lose() {
	clear(f.told)
	clear(f.known)

	for _, s := range f.sums {
		s.ServiceLoad = carobward.ServiceLoad{}
	}
}

// tell sends the heartbeat of an entry VM.
func (f *replayFleet) tell(i int) {
	if f.over() {
		return
	}

	f.run.timeline.after(loadInterval, func() { f.tell(i) })

	if f.run.pattern.PowerLoss.contains(f.run.timeline.now) {
		return
	}

	load := f.run.vms[i].meter.Load(replayService, f.run.now())
	sum := f.sums[replayDomain(i)]
	sum.ServiceLoad = plus(&sum.ServiceLoad, &load, 1)
	sum.ServiceLoad = plus(&sum.ServiceLoad, &f.told[i], -1)
	sum.At = f.run.now()
	f.told[i] = load
}

// publish passes the sums of a failure domain on to the others.
func (f *replayFleet) publish(d carobward.Domain) {
	if f.over() {
		return
	}

	f.run.timeline.after(loadInterval, func() { f.publish(d) })

	sum := *f.sums[d]
	sum.At = f.run.now()
	f.run.timeline.after(relayDelay, func() { f.known[d] = sum })
}

// load returns what an entry VM knows of the load.
func (f *replayFleet) load(v *replayVM, own *carobward.ServiceLoad) []carobward.DomainLoad {
	near := *f.sums[v.domain]
	near.ServiceLoad = plus(&near.ServiceLoad, own, 1)
	near.ServiceLoad = plus(&near.ServiceLoad, &f.told[v.index], -1)
	list := []carobward.DomainLoad{near}

	if f.run.way.OwnLoadOnly {
		list[0].ServiceLoad = *own

		return list
	}

	for _, d := range []carobward.Domain{replayDomain(0), replayDomain(1), replayDomain(2)} {
		if k, ok := f.known[d]; ok && d != v.domain {
			list = append(list, k)
		}
	}

	return list
}

// plus returns a + by*b.
func plus(a, b *carobward.ServiceLoad, by carobward.Rate) carobward.ServiceLoad {
	out := *a
	for i := range out.Demand {
		out.Demand[i] = max(0, out.Demand[i]+by*b.Demand[i])
	}

	out.Completed = max(0, out.Completed+by*b.Completed)
	out.Full = max(0, out.Full+by*b.Full)

	return out
}

// admits reports whether a request that has just arrived may try to get a server, and
// otherwise refuses it.
func (v *replayVM) admits(r *replayRequest) bool {
	w := v.run
	if !w.admissionUsed() {
		return true
	}

	now := w.now()
	v.meter.CountRequest(r.rank, now)

	if v.admission.Due(now) {
		own := v.meter.Load(replayService, now)
		v.admission.Observe(w.fleet.load(v, &own), &own, now)
	}

	q := cwadmit.Request{Rank: r.rank, Returned: r.retried, Timely: r.schedule.Timely(now), Draw: w.fleet.rng.Float64()}
	if v.admission.Admit(q, now) {
		return true
	}

	after := v.admission.RetryAfter(q, r.schedule.Return(now), now)
	if w.way.ConstantReturn {
		after = r.schedule.RetryAfter()
	}

	w.result.Unadmitted++
	w.refuse(r, after)

	return false
}

// noteChecked records whether a request found room with its first health checks.
func (v *replayVM) noteChecked(r *replayRequest, room bool) {
	if !v.run.admissionUsed() || r.checked {
		return
	}

	r.checked = true
	v.admission.Checked(room, v.run.now())

	if !room {
		v.meter.CountFull(v.run.now())
	}
}

// admissionUsed reports whether arriving requests pass admission control.
func (w *replay) admissionUsed() bool {
	return len(w.pattern.Ranks) > 1 && !w.way.NoAdmission && !w.way.Central && !w.way.Alone && !w.way.Random
}

// drawRank returns the rank of a new request.
func (p *Pattern) drawRank(draw float64) int {
	for i, share := range p.Ranks {
		if draw < share {
			return i
		}

		draw -= share
	}

	return max(0, len(p.Ranks)-1)
}
