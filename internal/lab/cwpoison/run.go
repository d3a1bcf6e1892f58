package cwpoison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// The parameters of the model.
const (
	// runTime is the length of a run.
	runTime = 30 * time.Second
	// A server runs up to slots requests at once, each for workTime. load is
	// the share of the slots in use.
	slots    = 4
	workTime = 250 * time.Millisecond
	load     = 0.5
	// fatalTime is how long a server survives after it has begun to run a
	// culprit, and downTime how long it is down after a crash. Both are those
	// of the incident that the quarantine guards against.
	fatalTime = 60 * time.Millisecond
	downTime  = 3200 * time.Millisecond
	// minDelay and maxDelay bound the delay until another entry VM has received
	// an announcement: in a fleet of 472 the median is 0.58 s and the maximum
	// 1.61 s.
	minDelay = 200 * time.Millisecond
	maxDelay = 1600 * time.Millisecond
	// lateTime is how long after the third crash sends of the culprit begin to
	// count as late.
	lateTime = 4 * time.Second
	// maxSends bounds how often one request is sent.
	maxSends = 2
	callers  = 200
	// safeShare is the share of requests that are safe to send again.
	safeShare = 0.55
)

// epoch is the zero of the model's time.
var epoch = time.UnixMilli(0)

// event is a function that is called at a time.
type event struct {
	at time.Duration
	// number keeps the order of events at the same time.
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if item, ok := x.(event); ok {
		*e = append(*e, item)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// server is a modelled server.
type server struct {
	name     carobward.Instance
	starts   int
	down     bool
	inFlight map[*request]bool
}

// request is one attempt of a caller.
type request struct {
	vm          int
	call        carobward.Call
	caller      string
	fingerprint cwquarantine.Fingerprint
	safe        bool
	culprit     bool
	sends       int
	// crashes are the crashes not yet announced to the other entry VMs.
	crashes []cwquarantine.Crash
}

// run is one run of the model.
type run struct {
	variant Variant
	pattern Pattern
	random  *rand.Rand
	now     time.Duration
	queue   events
	number  int
	tables  []*cwquarantine.Table
	servers []*server
	trials  map[string]bool
	// thirdCrash has the time of the third crash that each culprit caused,
	// crashes the number of its crashes.
	thirdCrash map[string]time.Duration
	crashes    map[string]int
	result     Result
}

// Run simulates a pattern on a fleet.
func Run(v Variant, p Pattern, vms, servers int, seed uint64) Result {
	r := &run{
		variant: v, pattern: p, random: rand.New(rand.NewPCG(seed, 1)), trials: map[string]bool{},
		thirdCrash: map[string]time.Duration{}, crashes: map[string]int{},
	}

	for range vms {
		r.tables = append(r.tables, cwquarantine.NewTable())
	}

	for n := range servers {
		r.servers = append(r.servers, &server{name: carobward.Instance(fmt.Sprint("s-", n)), inFlight: map[*request]bool{}})
	}

	r.plan()

	for len(r.queue) > 0 {
		e, ok := heap.Pop(&r.queue).(event)
		if !ok || e.at > runTime {
			break
		}

		r.now = e.at
		e.do()
	}

	return r.result
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) after(d time.Duration, do func()) {
	r.number++
	heap.Push(&r.queue, event{r.now + d, r.number, do})
}

// plan schedules the first arrivals and the crashes.
func (r *run) plan() {
	gap := time.Duration(float64(workTime) / (load * slots * float64(len(r.servers))))
	r.after(gap, func() { r.arrive(gap) })

	for n := range r.pattern.Culprits {
		r.after(time.Second+time.Duration(n)*time.Second, func() { r.sendCulprit(fmt.Sprint("/culprit/", n)) })
	}

	for n := range r.pattern.Crashes {
		r.after(time.Second+time.Duration(n)*2*time.Second, r.crashSome)
	}
}

// arrive sends an innocent request and schedules the next one.
func (r *run) arrive(gap time.Duration) {
	r.after(gap, func() { r.arrive(gap) })

	r.result.Innocent++

	uri := fmt.Sprint("/sheets/", r.result.Innocent)
	safe := r.random.Float64() < safeShare

	if r.random.Float64() < r.pattern.Popular {
		uri, safe = "/fees/17", false
	}

	r.sendNew(uri, fmt.Sprint(r.random.IntN(callers)), safe, false)
}

// sendCulprit sends a culprit and schedules it again.
func (r *run) sendCulprit(uri string) {
	r.after(r.pattern.Interval, func() { r.sendCulprit(uri) })
	r.sendNew(uri, "culprit", true, true)
}

func (r *run) sendNew(uri, caller string, safe, culprit bool) {
	q := &request{vm: r.random.IntN(len(r.tables)), caller: caller, safe: safe, culprit: culprit, call: carobward.Call{Method: "GET", URI: uri}}

	if !r.variant.PerCaller {
		caller = ""
	}

	q.fingerprint = cwquarantine.FingerprintOf(&q.call, caller)
	r.send(q)
}

// send sends a request to a server, unless it is quarantined or no server has
// room.
func (r *run) send(q *request) {
	if r.variant.Quarantine && r.isQuarantined(q) {
		if !q.culprit {
			r.result.Refused++
		}

		return
	}

	s := r.choose()
	if s == nil {
		if !q.culprit {
			r.result.Full++
		}

		return
	}

	q.sends++
	s.inFlight[q] = true
	starts := s.starts

	if !q.culprit {
		r.after(workTime, func() { r.answer(s, starts, q) })

		return
	}

	if at, ok := r.thirdCrash[q.call.URI]; ok && r.now > at+lateTime {
		r.result.Late++
	}

	r.after(fatalTime, func() {
		if s.starts != starts || s.down {
			return
		}

		r.result.Crashed++
		r.crashes[q.call.URI]++

		if r.crashes[q.call.URI] == 3 {
			r.thirdCrash[q.call.URI] = r.now
		}

		r.crash(s)
	})
}

// isQuarantined reports whether a request is refused. If a trial of a
// quarantined request is due, one entry VM of the fleet sends it.
func (r *run) isQuarantined(q *request) bool {
	d := r.tables[q.vm].Decide(q.fingerprint, r.time())
	if !d.Quarantined || d.Trial.Number == 0 || !r.hasRoom() {
		return d.Quarantined
	}

	key := fmt.Sprint(d.Trial.Fingerprint, d.Trial.Number)
	if r.variant.Shared && r.trials[key] {
		return true
	}

	r.trials[key] = true
	q.sends = maxSends
	d.Trial.At = r.time()
	r.announce(q.vm, func(table *cwquarantine.Table) { table.AddTrial(d.Trial) })

	return false
}

// hasRoom reports whether any server has a free slot. A trial is decided on
// only right before the request would be sent.
func (r *run) hasRoom() bool {
	for _, s := range r.servers {
		if !s.down && len(s.inFlight) < slots {
			return true
		}
	}

	return false
}

// choose returns a server with a free slot: the less loaded of two from a
// random position on, or any other. It returns nil if no server has one.
func (r *run) choose() *server {
	var best *server

	start := r.random.IntN(len(r.servers))

	for n := range r.servers {
		s := r.servers[(start+n)%len(r.servers)]
		if !s.down && len(s.inFlight) < slots && (best == nil || len(s.inFlight) < len(best.inFlight)) {
			best = s
		}

		if best != nil && n > 0 {
			return best
		}
	}

	return best
}

// answer ends a request at a server that has not crashed since.
func (r *run) answer(s *server, starts int, q *request) {
	if s.starts != starts || s.down {
		return
	}

	delete(s.inFlight, q)

	if r.variant.Quarantine && r.variant.Clears && r.tables[q.vm].MayContain(&q.call) {
		r.announce(q.vm, func(table *cwquarantine.Table) { table.Answered(q.fingerprint) })
	}
}

// crashSome crashes a share of the servers at once.
func (r *run) crashSome() {
	for _, s := range r.servers {
		if !s.down && r.random.Float64() < r.pattern.Share {
			r.crash(s)
		}
	}
}

// crash crashes a server with its requests in flight, and restarts it later.
func (r *run) crash(s *server) {
	s.down = true
	out := s.inFlight
	s.inFlight = map[*request]bool{}

	r.after(downTime, func() {
		s.down = false
		s.starts++
	})

	for _, q := range sorted(out) {
		r.aborted(s, q)
	}
}

// aborted handles a request in flight on a server that crashed, as its entry VM
// does.
func (r *run) aborted(s *server, q *request) {
	if r.variant.Quarantine {
		c := cwquarantine.Crash{Fingerprint: q.fingerprint, Server: s.name, Start: carobward.Start(s.starts), At: r.time()}
		r.tables[q.vm].AddCrash(c, r.time())
		q.crashes = append(q.crashes, c)
	}

	known := r.tables[q.vm].Crashes(q.fingerprint, r.time())

	if q.safe && q.sends < maxSends && known < cwquarantine.ResendThreshold {
		r.send(q)

		return
	}

	if !q.culprit {
		r.result.Aborted++
	}

	for _, c := range q.crashes {
		r.announce(q.vm, func(table *cwquarantine.Table) { table.AddCrash(c, r.time()) })
	}
}

// announce changes the table of an entry VM now, and those of all others after
// a delay.
func (r *run) announce(from int, change func(*cwquarantine.Table)) {
	change(r.tables[from])

	if !r.variant.Shared {
		return
	}

	for i, t := range r.tables {
		if i != from {
			r.after(minDelay+time.Duration(r.random.Int64N(int64(maxDelay-minDelay))), func() { change(t) })
		}
	}
}
