package cwfront

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwadmit"
)

// admission is the admission control of one service. It is safe for concurrent use.
type admission struct {
	mutex   sync.Mutex
	control cwadmit.Control
}

// due reports whether observe is to be called again.
func (a *admission) due(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.control.Due(now)
}

// observe updates the limit, and reports whether one is in force now and whether one was before.
func (a *admission) observe(list []carobward.DomainLoad, own *carobward.ServiceLoad, now time.Time) (short, before bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	before = a.control.Short()
	a.control.Observe(list, own, now)

	return a.control.Short(), before
}

// admit reports whether a request may try to get a server, and otherwise returns the delay after
// which its caller may retry.
func (a *admission) admit(q cwadmit.Request, t cwadmit.Return, now time.Time) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.control.Admit(q, now) {
		return 0, true
	}

	return a.control.RetryAfter(q, t, now), false
}

// checked records whether a request found a server with room at first.
func (a *admission) checked(room bool, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	a.control.Checked(room, now)
}

// retryAfter returns the retry delay of a caller whose request found no server with room in time,
// and false if no limit is in force.
func (a *admission) retryAfter(q cwadmit.Request, t cwadmit.Return, now time.Time) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if !a.control.Short() {
		return 0, false
	}

	return a.control.RetryAfter(q, t, now), true
}

// short reports whether a limit is in force.
func (a *admission) short() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.control.Short()
}

// admit refuses a request on its arrival, without health checks, if all entry VMs together
// have too little room for it. Another entry VM that passed it on may have admitted it.
func (r *request) admit() error {
	if r.admitted {
		return nil
	}

	f, now := r.front, r.front.Clock.Now()
	r.state.load.CountRequest(r.rank(), now)

	if !r.routes.Competes(r.service) {
		r.admitted = true

		return nil
	}

	r.observeLoad(now)

	after, ok := r.state.admission.admit(r.claim(now), r.schedule.Return(now), now)
	r.admitted = ok

	if ok {
		return nil
	}

	f.counts.Add(countUnadmitted, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, after, ErrShort)
}

// claim returns what decides on the admission of the request.
func (r *request) claim(now time.Time) cwadmit.Request {
	return cwadmit.Request{Rank: r.rank(), Returned: r.returned, Timely: r.schedule.Timely(now), Draw: cwadmit.Draw(r.id, r.schedule.Return(now).Earliest, now)}
}

// observeLoad updates the admission limit of the request's service if that is due.
func (r *request) observeLoad(now time.Time) {
	f, a := r.front, &r.state.admission
	if !a.due(now) {
		return
	}

	own := r.state.load.Load(r.service, now)
	list := f.FleetLoad(r.service, now)

	if short, before := a.observe(list, &own, now); short != before {
		f.logShort(r.service, list, short, now)
	}
}

// logShort logs that an admission limit is in force, or no longer.
func (f *Front) logShort(s carobward.Service, list []carobward.DomainLoad, short bool, now time.Time) {
	var sum carobward.ServiceLoad

	vms, age := 0, time.Duration(0)

	for i := range list {
		sum.Add(&list[i].ServiceLoad)
		vms += list[i].VMs
		age = max(age, now.Sub(list[i].At))
	}

	f.Log.Info("Whether a service has too little room has changed.", "service", s, "short", short, "demand", int(sum.Total()), "completed", int(sum.Completed),
		"full", int(sum.Full), "vms", vms, "domains", len(list), "age", age.Milliseconds())
}

// retryAfter returns the retry delay of the caller of a request that found no room.
func (r *request) retryAfter(now time.Time) time.Duration {
	if !r.routes.Competes(r.service) {
		return r.schedule.RetryAfter()
	}

	if after, ok := r.state.admission.retryAfter(r.claim(now), r.schedule.Return(now), now); ok {
		return after
	}

	return r.schedule.RetryAfter()
}

// noteRoom records once whether the request found a server with room at first.
func (r *request) noteRoom(room bool) {
	if r.roomNoted {
		return
	}

	r.roomNoted = true
	now := r.front.Clock.Now()
	r.state.admission.checked(room, now)

	if !room {
		r.state.load.CountFull(now)
	}
}

// ShortServices returns the number of services with too little room for the requests of all
// entry VMs.
func (f *Front) ShortServices() int {
	routes := f.routes.Load()
	if routes == nil {
		return 0
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	n := 0

	for name, s := range f.services {
		if routes.Competes(name) && s.admission.short() {
			n++
		}
	}

	return n
}
