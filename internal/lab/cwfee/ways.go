package cwfee

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
)

// The model of Weigh: fees at a steady rate, entry VMs that are killed and
// replaced, replies that are lost, a store that is away for a while. Time is
// counted, not waited for.
const (
	modelVMs     = 16
	modelEvery   = 10 * time.Millisecond // Between two fees.
	modelHop     = time.Millisecond
	modelWork    = 20 * time.Millisecond
	modelKill    = 500 * time.Millisecond // Between two kills in the fleet.
	modelDown    = time.Second
	modelStore   = 3 * time.Millisecond // One write.
	modelOutage  = 20 * time.Second
	modelPause   = 500 * time.Millisecond
	modelRetries = 5
	lossOneIn    = 200 // Replies lost between entry VM and caller.
)

// model is one way of running fees at most once, or not.
type model struct {
	rng    *rand.Rand
	kills  [modelVMs][]time.Duration
	outage time.Duration
	writes int
	runs   int
}

func newModel(seed uint64, fees int) *model {
	length := time.Duration(fees) * modelEvery
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), outage: length / 2}

	for at := time.Duration(0); at < 2*length; at += modelKill {
		v := m.rng.IntN(modelVMs)
		m.kills[v] = append(m.kills[v], at)
	}

	return m
}

// killed tells whether a VM is killed within a stretch of time, or down.
func (m *model) killed(v int, from, to time.Duration) (killed, down bool) {
	for _, k := range m.kills[v] {
		down = down || (k <= from && from < k+modelDown)
		killed = killed || (from < k && k <= to)
	}

	return killed, down
}

// write writes to the store and returns when it is done, or false.
func (m *model) write(at time.Duration) (time.Duration, bool) {
	if at >= m.outage && at < m.outage+modelOutage {
		return at, false
	}

	m.writes++

	return at + modelStore, true
}

// attempt sends a fee to a VM that is up. If it is to be sent again it returns
// after which pause, else the verdict.
type attempt func(m *model, v int, at time.Duration) (carobward.Verdict, time.Duration)

// charge sends a fee until an attempt is the last. After the last try the
// verdict is that of the last attempt; a VM that is down was sent nothing.
func (m *model) charge(send attempt, at time.Duration) carobward.Verdict {
	verdict := carobward.NotRun

	for range modelRetries {
		v := m.rng.IntN(modelVMs)
		if _, down := m.killed(v, at, at); down {
			at += modelHop // Another VM, another ticket.

			continue
		}

		var again time.Duration
		if verdict, again = send(m, v, at); again == 0 {
			break
		}

		at += again
	}

	return verdict
}

// ticketFee runs a fee as package cwowner does: the entry VM's memory has the
// record, and an owner that was killed leaves an unknown.
func (m *model) ticketFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	done := at + modelHop + modelWork
	if killed, _ := m.killed(v, at, at+modelHop); killed {
		return carobward.Unknown, 0
	}

	m.runs++

	if killed, _ := m.killed(v, at, done+modelHop); killed {
		return carobward.Unknown, 0 // The replacement has no record.
	}

	if m.rng.IntN(lossOneIn) > 0 {
		return carobward.Ran, 0
	}

	// The reply was lost; the owner replays it, if it still lives.
	if killed, _ := m.killed(v, done, done+modelPause); killed {
		return carobward.Unknown, 0
	}

	return carobward.Ran, 0
}

// claimFee claims each fee in the store before it runs and writes its outcome
// there after, so that any entry VM can replay it.
func (m *model) claimFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	claimed, ok := m.write(at + modelHop)
	if !ok {
		return carobward.NotRun, modelPause
	}

	if killed, _ := m.killed(v, at, claimed); killed {
		return carobward.Unknown, 0 // The claim may stand.
	}

	m.runs++

	done, ok := m.write(claimed + modelWork)
	if killed, _ := m.killed(v, claimed, done); killed || !ok {
		return carobward.Unknown, 0 // Claimed, and no outcome.
	}

	return carobward.Ran, 0 // A lost reply is replayed from the store.
}

// naiveFee runs a fee again after any error.
func (m *model) naiveFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	if killed, _ := m.killed(v, at, at+modelHop); !killed {
		m.runs++
	}

	if killed, _ := m.killed(v, at, at+modelHop+modelWork); !killed && m.rng.IntN(lossOneIn) > 0 {
		return carobward.Ran, 0
	}

	return carobward.Unknown, modelWork
}

// Way is one of the ways that were weighed.
type Way struct {
	Name string
	// Once tells whether it promises that no fee runs twice.
	Once bool

	send attempt
}

// Ways returns the ways that were weighed.
func Ways() []Way {
	return []Way{
		{"tickets", true, (*model).ticketFee},
		{"claims in the store", true, (*model).claimFee},
		{"retry on any error", false, (*model).naiveFee},
	}
}

// Weigh charges fees in counted time, under kills and an outage of the store
// that follow from the seed alone, and returns the writes to the store too.
func (w Way) Weigh(seed uint64, fees int) (c Count, writes int) {
	m := newModel(seed, fees)
	c.Told = map[carobward.Verdict]int{}

	for n := range fees {
		before := m.runs
		v := m.charge(w.send, time.Duration(n)*modelEvery)
		c.add(v, m.runs-before)
	}

	return c, m.writes
}
