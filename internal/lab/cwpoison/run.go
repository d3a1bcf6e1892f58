package cwpoison

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// The figures of the model.
const (
	// runTime is the length of a run.
	runTime = 30 * time.Second
	// slots, workTime and load are those of servers: requests at once, the time of one,
	// and the share of the slots in use.
	slots    = 4
	workTime = 250 * time.Millisecond
	load     = 0.5
	// fatalTime is how long a server lives that runs a culprit, downTime how long it is
	// down: as in the incident that the rule answers.
	fatalTime = 60 * time.Millisecond
	downTime  = 3200 * time.Millisecond
	// spreadLeast and spreadMost bound the time until another entry VM knows: 0.58 s in
	// the middle and 1.61 s at most among 472.
	spreadLeast = 200 * time.Millisecond
	spreadMost  = 1600 * time.Millisecond
	// lateTime is how long after the third end sends count as late.
	lateTime = 4 * time.Second
	// sendsMost bounds the sends of one request.
	sendsMost = 2
	// callers is the number of callers.
	callers = 200
	// safeShare is the share of requests that may be sent again.
	safeShare = 0.55
)

// epoch is the model's zero.
var epoch = time.UnixMilli(0)

// event is something that happens at a time.
type event struct {
	at time.Duration
	// number keeps events of one time in their order.
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
	if one, ok := x.(event); ok {
		*e = append(*e, one)
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
	name   carobward.Instance
	starts int
	down   bool
	out    map[*request]bool
}

// request is one attempt of a caller.
type request struct {
	vm      int
	call    carobward.Call
	caller  string
	print   cwquarantine.Fingerprint
	safe    bool
	culprit bool
	sends   int
	// crashes are those that are not shared yet.
	crashes []cwquarantine.Crash
}

// run is one run of the model.
type run struct {
	way     Way
	pattern Pattern
	random  *rand.Rand
	now     time.Duration
	queue   events
	number  int
	tables  []*cwquarantine.Table
	servers []*server
	trials  map[string]bool
	// third is when the third server ended under each culprit, ends their number.
	third  map[string]time.Duration
	ends   map[string]int
	result Result
}

// Run replays a pattern on a fleet.
func Run(w Way, p Pattern, vms, servers int, seed uint64) Result {
	r := &run{
		way: w, pattern: p, random: rand.New(rand.NewPCG(seed, 1)), trials: map[string]bool{},
		third: map[string]time.Duration{}, ends: map[string]int{},
	}

	for range vms {
		r.tables = append(r.tables, cwquarantine.NewTable())
	}

	for n := range servers {
		r.servers = append(r.servers, &server{name: carobward.Instance(fmt.Sprint("s-", n)), out: map[*request]bool{}})
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

// plan begins the arrivals and the ends of servers.
func (r *run) plan() {
	gap := time.Duration(float64(workTime) / (load * slots * float64(len(r.servers))))
	r.after(gap, func() { r.arrive(gap) })

	for n := range r.pattern.Culprits {
		r.after(time.Second+time.Duration(n)*time.Second, func() { r.again(fmt.Sprint("/culprit/", n)) })
	}

	for n := range r.pattern.Crashes {
		r.after(time.Second+time.Duration(n)*2*time.Second, r.crashSome)
	}
}

// arrive has an innocent request come, and the next one after it.
func (r *run) arrive(gap time.Duration) {
	r.after(gap, func() { r.arrive(gap) })

	r.result.Innocent++

	uri := fmt.Sprint("/sheets/", r.result.Innocent)
	safe := r.random.Float64() < safeShare

	if r.random.Float64() < r.pattern.Popular {
		uri, safe = "/fees/17", false
	}

	r.begin(uri, fmt.Sprint(r.random.IntN(callers)), safe, false)
}

// again has a culprit come, and come again.
func (r *run) again(uri string) {
	r.after(r.pattern.Every, func() { r.again(uri) })
	r.begin(uri, "culprit", true, true)
}

func (r *run) begin(uri, caller string, safe, culprit bool) {
	q := &request{vm: r.random.IntN(len(r.tables)), caller: caller, safe: safe, culprit: culprit, call: carobward.Call{Method: "GET", URI: uri}}

	if !r.way.Callers {
		caller = ""
	}

	q.print = cwquarantine.FingerprintOf(&q.call, caller)
	r.send(q)
}

// send sends a request to a server, unless it is quarantined or none has room.
func (r *run) send(q *request) {
	if r.way.Holds && r.isHeld(q) {
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
	s.out[q] = true
	starts := s.starts

	if !q.culprit {
		r.after(workTime, func() { r.answer(s, starts, q) })

		return
	}

	if at, ok := r.third[q.call.URI]; ok && r.now > at+lateTime {
		r.result.Late++
	}

	r.after(fatalTime, func() {
		if s.starts != starts || s.down {
			return
		}

		r.result.Ended++
		r.ends[q.call.URI]++

		if r.ends[q.call.URI] == 3 {
			r.third[q.call.URI] = r.now
		}

		r.crash(s)
	})
}

// isHeld tells whether a request is refused. One entry VM of all makes a trial.
func (r *run) isHeld(q *request) bool {
	d := r.tables[q.vm].Decide(q.print, r.time())
	if !d.Quarantined || d.Trial.Number == 0 || !r.hasRoom() {
		return d.Quarantined
	}

	key := fmt.Sprint(d.Trial.Fingerprint, d.Trial.Number)
	if r.way.Shares && r.trials[key] {
		return true
	}

	r.trials[key] = true
	q.sends = sendsMost
	d.Trial.At = r.time()
	r.spread(q.vm, func(table *cwquarantine.Table) { table.AddTrial(d.Trial) })

	return false
}

// hasRoom tells whether a request would be sent: a trial is asked for right before that.
func (r *run) hasRoom() bool {
	for _, s := range r.servers {
		if !s.down && len(s.out) < slots {
			return true
		}
	}

	return false
}

// choose returns a server with a free slot, the freest of two drawn, or any.
func (r *run) choose() *server {
	var best *server

	start := r.random.IntN(len(r.servers))

	for n := range r.servers {
		s := r.servers[(start+n)%len(r.servers)]
		if !s.down && len(s.out) < slots && (best == nil || len(s.out) < len(best.out)) {
			best = s
		}

		if best != nil && n > 0 {
			return best
		}
	}

	return best
}

// answer ends a request at a server that still runs.
func (r *run) answer(s *server, starts int, q *request) {
	if s.starts != starts || s.down {
		return
	}

	delete(s.out, q)

	if r.way.Holds && r.way.Clears && r.tables[q.vm].MayContain(&q.call) {
		r.spread(q.vm, func(table *cwquarantine.Table) { table.Answered(q.print) })
	}
}

// crashSome ends a share of the servers at once.
func (r *run) crashSome() {
	for _, s := range r.servers {
		if !s.down && r.random.Float64() < r.pattern.Share {
			r.crash(s)
		}
	}
}

// crash ends a server and what is in flight there, and starts it again later.
func (r *run) crash(s *server) {
	s.down = true
	out := s.out
	s.out = map[*request]bool{}

	r.after(downTime, func() {
		s.down = false
		s.starts++
	})

	for _, q := range sorted(out) {
		r.broken(s, q)
	}
}

// broken is what an entry VM does after a send that broke off.
func (r *run) broken(s *server, q *request) {
	if r.way.Holds {
		c := cwquarantine.Crash{Fingerprint: q.print, Server: s.name, Start: carobward.Start(s.starts), At: r.time()}
		r.tables[q.vm].AddCrash(c, r.time())
		q.crashes = append(q.crashes, c)
	}

	known := r.tables[q.vm].Crashes(q.print, r.time())

	if q.safe && q.sends < sendsMost && known < cwquarantine.ResendThreshold {
		r.send(q)

		return
	}

	if !q.culprit {
		r.result.Cut++
	}

	for _, c := range q.crashes {
		r.spread(q.vm, func(table *cwquarantine.Table) { table.AddCrash(c, r.time()) })
	}
}

// spread changes the table of an entry VM now, and of all others once they know.
func (r *run) spread(from int, change func(*cwquarantine.Table)) {
	change(r.tables[from])

	if !r.way.Shares {
		return
	}

	for i, t := range r.tables {
		if i != from {
			r.after(spreadLeast+time.Duration(r.random.Int64N(int64(spreadMost-spreadLeast))), func() { change(t) })
		}
	}
}
