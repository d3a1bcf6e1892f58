package cwonce

import (
	"math/rand/v2"
	"time"

	"carobward.example/carobward"
)

// The parameters of Strategy.Run: fees arrive at a steady rate, entry VMs are
// killed and replaced, replies are lost, and the store is unavailable for a
// while. Time is virtual.
const (
	modelVMs          = 16
	modelInterval     = 10 * time.Millisecond // Between two fees.
	modelHopTime      = time.Millisecond
	modelWorkTime     = 20 * time.Millisecond
	modelKillInterval = 500 * time.Millisecond // Between two kills in the fleet.
	modelDowntime     = time.Second
	modelWriteTime    = 3 * time.Millisecond // The time of one write.
	modelOutageTime   = 20 * time.Second
	modelRetryDelay   = 500 * time.Millisecond
	modelRetries      = 5
	lossOneIn         = 200 // One of so many replies is lost between entry VM and caller.
)

// model is the state of one simulation.
type model struct {
	rng    *rand.Rand
	kills  [modelVMs][]time.Duration
	outage time.Duration
	writes int
	runs   int
}

func newModel(seed uint64, fees int) *model {
	length := time.Duration(fees) * modelInterval
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), outage: length / 2}

	for at := time.Duration(0); at < 2*length; at += modelKillInterval {
		v := m.rng.IntN(modelVMs)
		m.kills[v] = append(m.kills[v], at)
	}

	return m
}

// killed reports whether a VM is killed within a period, and whether it is down
// at its start.
func (m *model) killed(v int, from, to time.Duration) (killed, down bool) {
	for _, k := range m.kills[v] {
		down = down || (k <= from && from < k+modelDowntime)
		killed = killed || (from < k && k <= to)
	}

	return killed, down
}

// write writes to the store. It returns when the write is done and whether it
// succeeded.
func (m *model) write(at time.Duration) (time.Duration, bool) {
	if at >= m.outage && at < m.outage+modelOutageTime {
		return at, false
	}

	m.writes++

	return at + modelWriteTime, true
}

// attempt sends a fee to a VM that is up. It returns the verdict, and the delay
// before a retry, or 0 if the verdict is final.
type attempt func(m *model, v int, at time.Duration) (carobward.Verdict, time.Duration)

// charge sends a fee until an attempt is final. When the retries run out the
// verdict is that of the last attempt; nothing is sent to a VM that is down.
func (m *model) charge(send attempt, at time.Duration) carobward.Verdict {
	verdict := carobward.NotRun

	for range modelRetries {
		v := m.rng.IntN(modelVMs)
		if _, down := m.killed(v, at, at); down {
			at += modelHopTime // Retry at another VM with another ticket.

			continue
		}

		var retryAfter time.Duration
		if verdict, retryAfter = send(m, v, at); retryAfter == 0 {
			break
		}

		at += retryAfter
	}

	return verdict
}

// ticketFee runs a fee as package cwowner does: the record is in the entry VM's
// memory, and the verdict is unknown if that VM is killed.
func (m *model) ticketFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	done := at + modelHopTime + modelWorkTime
	if killed, _ := m.killed(v, at, at+modelHopTime); killed {
		return carobward.Unknown, 0
	}

	m.runs++

	if killed, _ := m.killed(v, at, done+modelHopTime); killed {
		return carobward.Unknown, 0 // The replacement has no record.
	}

	if m.rng.IntN(lossOneIn) > 0 {
		return carobward.Ran, 0
	}

	// The reply was lost; the owner replays it if it has not been killed.
	if killed, _ := m.killed(v, done, done+modelRetryDelay); killed {
		return carobward.Unknown, 0
	}

	return carobward.Ran, 0
}

// claimFee claims each fee in the store before it runs and then writes the
// outcome there, so that any entry VM can replay it.
func (m *model) claimFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	claimed, ok := m.write(at + modelHopTime)
	if !ok {
		return carobward.NotRun, modelRetryDelay
	}

	if killed, _ := m.killed(v, at, claimed); killed {
		return carobward.Unknown, 0 // The claim may have been written.
	}

	m.runs++

	done, ok := m.write(claimed + modelWorkTime)
	if killed, _ := m.killed(v, claimed, done); killed || !ok {
		return carobward.Unknown, 0 // Claimed without an outcome.
	}

	return carobward.Ran, 0 // A lost reply is replayed from the store.
}

// naiveFee retries a fee after any error.
func (m *model) naiveFee(v int, at time.Duration) (carobward.Verdict, time.Duration) {
	if killed, _ := m.killed(v, at, at+modelHopTime); !killed {
		m.runs++
	}

	if killed, _ := m.killed(v, at, at+modelHopTime+modelWorkTime); !killed && m.rng.IntN(lossOneIn) > 0 {
		return carobward.Ran, 0
	}

	return carobward.Unknown, modelWorkTime
}

// Strategy is a way of running fees.
type Strategy struct {
	Name string
	// AtMostOnce reports whether it promises that no fee runs twice.
	AtMostOnce bool

	send attempt
}

// Strategies returns the strategies that are compared.
func Strategies() []Strategy {
	return []Strategy{
		{"tickets", true, (*model).ticketFee},
		{"claims in the store", true, (*model).claimFee},
		{"retry on any error", false, (*model).naiveFee},
	}
}

// Run charges fees in virtual time, under VM crashes and a store outage that
// depend only on the seed. It returns the number of store writes as well.
func (s Strategy) Run(seed uint64, fees int) (c Count, writes int) {
	m := newModel(seed, fees)
	c.Verdicts = map[carobward.Verdict]int{}

	for n := range fees {
		before := m.runs
		v := m.charge(s.send, time.Duration(n)*modelInterval)
		c.add(v, m.runs-before)
	}

	return c, m.writes
}
