package cwbackend

import (
	"slices"
	"testing"
	"time"

	"carobward.example/carobward"
)

// The users' bound on a server that names a limit, see TestLimit of package cwgateway.
const (
	limitedFirst  = 3 * time.Second
	limitedWindow = 4 * time.Second
	limitedFactor = 1.5
	limitedSlack  = 5
	// limitedKnown is how long an entry VM may take after it passed on such a reply.
	limitedKnown = 500 * time.Millisecond
	// limitedExcused is for how long trouble excuses an entry VM.
	limitedExcused = 3 * time.Second
)

// limitedVM is what a limitFleet has of an entry VM beside coldVM.
type limitedVM struct {
	// lost is the time that its clock did not count, asleep until when it stands still.
	lost   time.Duration
	asleep time.Time
	slept  time.Duration
	// told has when each server first told this run of a limit that can be read.
	told map[carobward.Instance]time.Time
	// troubled is when it was last started, cut off or suspended.
	troubled time.Time
	beat     time.Time
}

// limitArrival is a request at a server. It counts if its entry VM had been told in time
// and is not excused.
type limitArrival struct {
	at     time.Time
	counts bool
}

// limitReply is a reply on its way.
type limitReply struct {
	at     time.Time
	vm     *coldVM
	table  *Table
	server *Server
}

// limitFleet is a model of entry VMs that send as much as they may, in the failure domain
// of some servers and in another one, and of what those servers say.
type limitFleet struct {
	*coldFleet

	more     map[*coldVM]*limitedVM
	says     map[carobward.Instance]carobward.Limit
	first    map[carobward.Instance]time.Time
	replies  []limitReply
	requests map[carobward.Instance][]limitArrival
	// highest has the highest limit of each step.
	highest []carobward.Rate
	// other is a way of keeping limits that is not the product's, or none.
	other func(f *limitFleet, v View, now time.Time) bool
}

func newLimitFleet(seed uint64, near, far, servers int) *limitFleet {
	f := &limitFleet{
		coldFleet: newColdFleet(seed, near, 0, byHash), more: map[*coldVM]*limitedVM{}, says: map[carobward.Instance]carobward.Limit{},
		first: map[carobward.Instance]time.Time{}, requests: map[carobward.Instance][]limitArrival{},
	}

	for i := range servers {
		f.servers = append(f.servers, backend(i, "d0"))
	}

	f.addVMs(far, "d1")

	for _, v := range f.vms {
		f.startVM(v)
		f.more[v] = &limitedVM{told: map[carobward.Instance]time.Time{}, beat: f.now.Add(time.Duration(f.rnd.Int64N(int64(time.Second))))}
	}

	return f
}

// name has the first servers name a limit.
func (f *limitFleet) name(servers int, l carobward.Limit) {
	for i := range servers {
		instance := f.servers[i].Instance
		f.says[instance] = l

		if f.first[instance].IsZero() {
			f.first[instance] = f.now
		}
	}
}

// clock is the time by the clock of an entry VM.
func (f *limitFleet) clock(v *coldVM) time.Time { return f.now.Add(-f.more[v].lost) }

func (f *limitFleet) step(trouble bool) {
	f.now = f.now.Add(coldStep)

	highest := carobward.Rate(0)
	for _, l := range f.says {
		highest = max(highest, l.Rate)
	}

	f.highest = append(f.highest, highest)

	for _, v := range f.vms {
		if trouble {
			f.trouble(v)
		}
	}

	f.deliver()

	for _, n := range f.rnd.Perm(len(f.vms)) {
		v := f.vms[n]
		if m := f.more[v]; !v.alive || f.now.Before(m.asleep) {
			continue
		}

		f.wake(v)
		f.tell(v)
		v.share(f.coldFleet, f.clock(v))
		f.send(v)
	}
}

// trouble lets chance act on an entry VM, as for cold servers, and suspends it each 8 s or
// so for up to 4 s.
func (f *limitFleet) trouble(v *coldVM) {
	m := f.more[v]
	alive, cut := v.alive, v.cut

	f.change(v)

	if v.alive != alive || v.cut != cut {
		m.troubled = f.now
	}

	if v.alive && !alive {
		m.told, m.asleep, m.slept = map[carobward.Instance]time.Time{}, time.Time{}, 0
	}

	if f.rnd.Float64() < float64(coldStep)/float64(8*time.Second) && !f.now.Before(m.asleep) {
		m.slept = time.Duration(f.rnd.Int64N(int64(4 * time.Second)))
		m.asleep = f.now.Add(m.slept)
	}

	if m.slept > 0 || v.cut {
		m.troubled = f.now
	}
}

// wake ends the sleep of an entry VM, which its clock did not count.
func (f *limitFleet) wake(v *coldVM) {
	m := f.more[v]
	if m.slept == 0 {
		return
	}

	m.lost += m.slept
	v.table.Suspended(m.slept)

	m.slept = 0
}

// deliver hands out the replies that have come.
func (f *limitFleet) deliver() {
	var left []limitReply

	for _, r := range f.replies {
		switch {
		case r.at.After(f.now) || f.now.Before(f.more[r.vm].asleep):
			left = append(left, r)
		case r.vm.alive && r.vm.table == r.table:
			f.reply(r)
		}
	}

	f.replies = left
}

func (f *limitFleet) reply(r limitReply) {
	f.wake(r.vm)

	instance := r.server.Backend().Instance
	l := f.says[instance]
	told := f.more[r.vm].told

	if l.Readable && told[instance].IsZero() {
		told[instance] = f.now
	}

	r.server.TakeLimit(carobward.LimitWord{Server: instance, Limit: l, At: f.clock(r.vm)}, ByReply)
}

// tell sends a heartbeat with words on limits if one is due, three of a hundred of which are
// lost.
func (f *limitFleet) tell(v *coldVM) {
	const loss = 0.03

	m := f.more[v]
	if f.now.Before(m.beat) {
		return
	}

	m.beat = f.now.Add(time.Second)
	list := v.table.Words(f.clock(v), false).Limits
	f.ask(v)

	for _, o := range f.vms {
		if o == v || o.domain != v.domain || !o.alive || v.cut || o.cut || f.now.Before(f.more[o].asleep) || f.rnd.Float64() < loss {
			continue
		}

		f.wake(o)

		o.heard[v.id] = f.now
		f.pass(v, o, list)
	}
}

// ask has an entry VM ask another one for all limits, as newcomers do.
func (f *limitFleet) ask(v *coldVM) {
	o := f.vms[f.rnd.IntN(len(f.vms))]
	if o != v && o.domain == v.domain && o.alive && !v.cut && !o.cut && !f.now.Before(f.more[o].asleep) {
		f.wake(o)
		f.pass(o, v, o.table.Words(f.clock(o), true).Limits)
	}
}

// pass hands words on limits from one entry VM to another, as ages.
func (f *limitFleet) pass(from, to *coldVM, list []carobward.LimitWord) {
	words := slices.Clone(list)
	for i := range words {
		words[i].At = f.clock(to).Add(words[i].At.Sub(f.clock(from)))
	}

	to.table.TakeLimits(words)
}

// send has an entry VM send to each server that it may, one in the mean in 400 ms to one
// that takes all.
func (f *limitFleet) send(v *coldVM) {
	const share = 0.25

	now := f.clock(v)

	for _, view := range v.table.Views("records", now, usual) {
		if !view.Limit.Named && f.rnd.Float64() >= share || !f.admits(v, view, now) {
			continue
		}

		instance := view.Server.Backend().Instance
		m := f.more[v]
		told := m.told[instance]
		counts := !told.IsZero() && f.now.Sub(told) >= limitedKnown && f.now.Sub(m.troubled) >= limitedExcused
		f.requests[instance] = append(f.requests[instance], limitArrival{f.now, counts})
		f.replies = append(f.replies, limitReply{f.now.Add(2 * coldStep), v, v.table, view.Server})
	}
}

// admits tells whether an entry VM sends to a server, by the product's way or another one.
func (f *limitFleet) admits(v *coldVM, view View, now time.Time) bool {
	if f.other != nil && view.Limit.Named {
		return f.other(f, view, now)
	}

	return !view.Barred && v.table.Admit(view.Server, now)
}

// check wants no server to get more than the users allow of what counts, and returns the
// mean of all requests a second at those with a limit from limitedFirst on.
func (f *limitFleet) check(t *testing.T) float64 {
	t.Helper()

	worst, mean := f.worst()
	if worst > 0 {
		t.Errorf("a server got %d requests more in %s than are allowed", worst, limitedWindow)
	}

	return mean
}

// worst returns by how many requests a server got more in a window than the users allow of
// what counts, and the mean of all requests a second at those with a limit from limitedFirst
// on.
func (f *limitFleet) worst() (int, float64) {
	worst, all, seconds := 0, 0, 0.0

	for i, first := range f.first {
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

// allowed is what the highest limit allows that was named in a window or just before.
func (f *limitFleet) allowed(begin time.Time) int {
	highest := carobward.Rate(0)

	for n, rate := range f.highest {
		at := start.Add(time.Duration(n+1) * coldStep)
		if !at.Before(begin.Add(-limitedFirst)) && !at.After(begin.Add(limitedWindow)) {
			highest = max(highest, rate)
		}
	}

	return int(limitedFactor*float64(highest)*limitedWindow.Seconds()) + limitedSlack
}

// playLimits plays a fleet whose first servers name limits one after the other, after a
// time in which all get what they may, and returns the mean that those got.
func playLimits(t *testing.T, f *limitFleet, named int, says []carobward.Limit, span time.Duration, trouble bool) float64 {
	t.Helper()

	for f.now.Sub(start) < 3*time.Second {
		f.step(trouble)
	}

	begin := f.now
	turn := span / time.Duration(max(len(says), 1))
	readable := carobward.Limit{}

	for n, l := range says {
		f.name(named, l)

		// What is allowed while a limit can't be read is what was named before.
		if l.Readable || !l.Named {
			readable = l
		}

		for f.now.Sub(begin) < time.Duration(n+1)*turn {
			f.step(trouble)

			if !l.Named {
				f.highest[len(f.highest)-1] = limitRateMost
			} else {
				f.highest[len(f.highest)-1] = readable.Rate
			}
		}
	}

	return f.check(t)
}
