package cwbackend

import (
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// The allowed requests at a server that announces a limit, see TestLimit of package cwgateway.
const (
	limitedFirst  = 3 * time.Second
	limitedWindow = 4 * time.Second
	limitedFactor = 1.5
	limitedSlack  = 5
	// limitedKnown is how long an entry VM may take to apply a limit after the reply that
	// announced it.
	limitedKnown = 500 * time.Millisecond
	// limitedExcused is how long after a fault the requests of an entry VM do not count.
	limitedExcused = 3 * time.Second
)

// limitedVM is the state of an entry VM beside simVM.
type limitedVM struct {
	// lost is how far its clock is behind, asleep the end of its suspension, slept the length
	// of the one that its clock has not made up for.
	lost   time.Duration
	asleep time.Time
	slept  time.Duration
	// knownSince is when each server first announced a readable limit to this run of the entry
	// VM.
	knownSince map[carobward.Instance]time.Time
	// faultAt is when it was last started, partitioned or suspended.
	faultAt  time.Time
	nextBeat time.Time
}

// limitArrival is a request at a server. It counts if its entry VM knew the limit for long
// enough and is not excused by a fault.
type limitArrival struct {
	at     time.Time
	counts bool
}

// limitReply is a reply in flight.
type limitReply struct {
	at     time.Time
	vm     *simVM
	table  *Table
	server *Server
}

// limitFleet simulates servers that announce limits, and entry VMs in their failure domain and
// in another one that send as much as they may.
type limitFleet struct {
	*simFleet

	states      map[*simVM]*limitedVM
	limits      map[carobward.Instance]carobward.Limit
	announcedAt map[carobward.Instance]time.Time
	inFlight    []limitReply
	requests    map[carobward.Instance][]limitArrival
	// highest has the highest limit in each step.
	highest []carobward.Rate
	// admitOther replaces the method of enforcing limits, unless it is nil.
	admitOther func(f *limitFleet, v View, now time.Time) bool
}

func newLimitFleet(seed uint64, near, far, servers int) *limitFleet {
	f := &limitFleet{
		simFleet: newSimFleet(seed, near, 0, byHash), states: map[*simVM]*limitedVM{}, limits: map[carobward.Instance]carobward.Limit{},
		announcedAt: map[carobward.Instance]time.Time{}, requests: map[carobward.Instance][]limitArrival{},
	}

	for i := range servers {
		f.servers = append(f.servers, backend(i, "d0"))
	}

	f.addVMs(far, "d1")

	for _, v := range f.vms {
		f.startVM(v)
		f.states[v] = &limitedVM{knownSince: map[carobward.Instance]time.Time{}, nextBeat: f.now.Add(time.Duration(f.rnd.Int64N(int64(time.Second))))}
	}

	return f
}

// announce lets the first servers announce a limit.
func (f *limitFleet) announce(servers int, l carobward.Limit) {
	for i := range servers {
		instance := f.servers[i].Instance
		f.limits[instance] = l

		if f.announcedAt[instance].IsZero() {
			f.announcedAt[instance] = f.now
		}
	}
}

// clock returns the time by the clock of an entry VM.
func (f *limitFleet) clock(v *simVM) time.Time { return f.now.Add(-f.states[v].lost) }

func (f *limitFleet) step(faults bool) {
	f.now = f.now.Add(simStep)

	highest := carobward.Rate(0)
	for _, l := range f.limits {
		highest = max(highest, l.Rate)
	}

	f.highest = append(f.highest, highest)

	for _, v := range f.vms {
		if faults {
			f.injectSuspensions(v)
		}
	}

	f.deliver()

	for _, n := range f.rnd.Perm(len(f.vms)) {
		v := f.vms[n]
		if m := f.states[v]; !v.alive || f.now.Before(m.asleep) {
			continue
		}

		f.wake(v)
		f.sendHeartbeat(v)
		v.updateTable(f.simFleet, f.clock(v))
		f.send(v)
	}
}

// injectSuspensions randomly disturbs an entry VM as simFleet does, and also suspends it about
// every 8 s for up to 4 s.
func (f *limitFleet) injectSuspensions(v *simVM) {
	m := f.states[v]
	alive, cut := v.alive, v.cut

	f.injectFaults(v)

	if v.alive != alive || v.cut != cut {
		m.faultAt = f.now
	}

	if v.alive && !alive {
		m.knownSince, m.asleep, m.slept = map[carobward.Instance]time.Time{}, time.Time{}, 0
	}

	if f.rnd.Float64() < float64(simStep)/float64(8*time.Second) && !f.now.Before(m.asleep) {
		m.slept = time.Duration(f.rnd.Int64N(int64(4 * time.Second)))
		m.asleep = f.now.Add(m.slept)
	}

	if m.slept > 0 || v.cut {
		m.faultAt = f.now
	}
}

// wake ends the suspension of an entry VM, during which its clock did not advance.
func (f *limitFleet) wake(v *simVM) {
	m := f.states[v]
	if m.slept == 0 {
		return
	}

	m.lost += m.slept
	v.table.Suspended(m.slept)

	m.slept = 0
}

// deliver delivers the replies that have arrived.
func (f *limitFleet) deliver() {
	var left []limitReply

	for _, r := range f.inFlight {
		switch {
		case r.at.After(f.now) || f.now.Before(f.states[r.vm].asleep):
			left = append(left, r)
		case r.vm.alive && r.vm.table == r.table:
			f.reply(r)
		}
	}

	f.inFlight = left
}

func (f *limitFleet) reply(r limitReply) {
	f.wake(r.vm)

	instance := r.server.Backend().Instance
	l := f.limits[instance]
	since := f.states[r.vm].knownSince

	if l.Readable && since[instance].IsZero() {
		since[instance] = f.now
	}

	r.server.MergeLimit(carobward.LimitAnnouncement{Server: instance, Limit: l, At: f.clock(r.vm)}, ByReply)
}

// sendHeartbeat sends a heartbeat with announced limits if one is due. 3 % are lost.
func (f *limitFleet) sendHeartbeat(v *simVM) {
	const loss = 0.03

	m := f.states[v]
	if f.now.Before(m.nextBeat) {
		return
	}

	m.nextBeat = f.now.Add(time.Second)
	list := v.table.Announcements(f.clock(v), false).Limits
	f.requestLimits(v)

	for _, o := range f.vms {
		if o == v || o.domain != v.domain || !o.alive || v.cut || o.cut || f.now.Before(f.states[o].asleep) || f.rnd.Float64() < loss {
			continue
		}

		f.wake(o)

		o.lastSeen[v.id] = f.now
		f.passLimits(v, o, list)
	}
}

// requestLimits lets an entry VM request all limits from another one, as newcomers do.
func (f *limitFleet) requestLimits(v *simVM) {
	o := f.vms[f.rnd.IntN(len(f.vms))]
	if o != v && o.domain == v.domain && o.alive && !v.cut && !o.cut && !f.now.Before(f.states[o].asleep) {
		f.wake(o)
		f.passLimits(o, v, o.table.Announcements(f.clock(o), true).Limits)
	}
}

// passLimits passes limits from one entry VM to another, with their ages.
func (f *limitFleet) passLimits(from, to *simVM, list []carobward.LimitAnnouncement) {
	limits := slices.Clone(list)
	for i := range limits {
		limits[i].At = f.clock(to).Add(limits[i].At.Sub(f.clock(from)))
	}

	to.table.MergeLimits(limits)
}

// send sends requests of an entry VM to each server that may get one, to a server without a
// limit every 400 ms on average.
func (f *limitFleet) send(v *simVM) {
	const share = 0.25

	now := f.clock(v)

	for _, view := range v.table.Views("records", now, usual) {
		if !view.Limit.Present && f.rnd.Float64() >= share || !f.admits(v, view, now) {
			continue
		}

		instance := view.Server.Backend().Instance
		m := f.states[v]
		since := m.knownSince[instance]
		counts := !since.IsZero() && f.now.Sub(since) >= limitedKnown && f.now.Sub(m.faultAt) >= limitedExcused
		f.requests[instance] = append(f.requests[instance], limitArrival{f.now, counts})
		f.inFlight = append(f.inFlight, limitReply{f.now.Add(2 * simStep), v, v.table, view.Server})
	}
}

// admits reports whether an entry VM may send to a server, by the method in use or by
// admitOther.
func (f *limitFleet) admits(v *simVM, view View, now time.Time) bool {
	if f.admitOther != nil && view.Limit.Present {
		return f.admitOther(f, view, now)
	}

	return !view.Throttled && v.table.Admit(view.Server, now)
}

// check checks that no server got more requests that count than allowed, and returns the mean
// rate at the servers with a limit from limitedFirst on.
func (f *limitFleet) check(t *testing.T) float64 {
	t.Helper()

	worst, mean := f.worst()
	if worst > 0 {
		t.Errorf("a server got %d requests more in %s than allowed", worst, limitedWindow)
	}

	return mean
}

// worst returns by how many requests that count a server exceeded what is allowed in a window,
// and the mean rate at the servers with a limit from limitedFirst on.
func (f *limitFleet) worst() (int, float64) {
	worst, all, seconds := 0, 0, 0.0

	for i, first := range f.announcedAt {
		from := first.Add(limitedFirst)
		seconds += f.now.Sub(from).Seconds()
		list := f.requests[i]

		for n := range list {
			if list[n].at.Before(from) {
				continue
			}

			all++

			got := 0
			for _, a := range list[n:] {
				if a.counts && a.at.Sub(list[n].at) < limitedWindow {
					got++
				}
			}

			worst = max(worst, got-f.allowed(list[n].at))
		}
	}

	return worst, float64(all) / seconds
}

// allowed returns how many requests are allowed in a window by the highest limit in it or
// shortly before it.
func (f *limitFleet) allowed(begin time.Time) int {
	highest := carobward.Rate(0)

	for n, rate := range f.highest {
		at := start.Add(time.Duration(n+1) * simStep)
		if !at.Before(begin.Add(-limitedFirst)) && !at.After(begin.Add(limitedWindow)) {
			highest = max(highest, rate)
		}
	}

	return int(limitedFactor*float64(highest)*limitedWindow.Seconds()) + limitedSlack
}

// runLimits simulates a fleet whose first servers announce limits one after the other, after a
// time without limits, and returns their mean request rate.
func runLimits(t *testing.T, f *limitFleet, named int, limits []carobward.Limit, span time.Duration, faults bool) float64 {
	t.Helper()

	for f.now.Sub(start) < 3*time.Second {
		f.step(faults)
	}

	begin := f.now
	turn := span / time.Duration(max(len(limits), 1))
	readable := carobward.Limit{}

	for n, l := range limits {
		f.announce(named, l)

		// While the limit is unreadable, the last readable one applies.
		if l.Readable || !l.Present {
			readable = l
		}

		for f.now.Sub(begin) < time.Duration(n+1)*turn {
			f.step(faults)

			if !l.Present {
				f.highest[len(f.highest)-1] = maxLimitRate
			} else {
				f.highest[len(f.highest)-1] = readable.Rate
			}
		}
	}

	return f.check(t)
}
