package cwowner_test

import (
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwonce"
)

// feeState is the state of one fee: the run that was executed and its ticket,
// and the tickets that were answered not-run.
type feeState struct {
	serial int
	ticket string
	closed string
}

// atMostOnce is the guarantee as a model: a fee runs at most once, however often
// and wherever it is retried; a ticket that was answered not-run neither ran
// before nor runs afterwards; every answer is that of the one run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) (all [][]porcupine.Operation) {
		byFee := map[string][]porcupine.Operation{}
		for _, o := range history {
			fee := o.Input.(cwonce.Operation).Fee
			byFee[fee] = append(byFee[fee], o)
		}

		for _, o := range byFee {
			all = append(all, o)
		}

		return all
	},
	Init: func() any { return feeState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(feeState), input.(cwonce.Operation)
		isClosed := strings.Contains(s.closed, o.Ticket+" ")

		switch {
		case o.Run:
			ok := s.serial == 0 && !isClosed
			s.serial, s.ticket = o.Serial, o.Ticket

			return ok, s
		case o.Verdict == carobward.Ran:
			return s.serial == o.Serial, s
		case o.Verdict == carobward.NotRun:
			if !isClosed {
				s.closed += o.Ticket + " "
			}

			return s.ticket != o.Ticket, s
		default:
			return true, s
		}
	},
}

// TestHistories checks the verdicts that concurrent callers receive against what
// ran, with lost and late messages and replies, shed requests, crashes, pauses
// and handovers.
func TestHistories(t *testing.T) {
	total := map[carobward.Verdict]int{}

	rapid.Check(t, func(t *rapid.T) {
		script := cwonce.Script{
			Seed:        rapid.Uint64().Draw(t, "seed"),
			Disruptions: rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(cwonce.DisruptionCount)-1), func(n int) cwonce.Disruption { return cwonce.Disruption(n) }), 0, 6).Draw(t, "troubles"),
			OneIn:       rapid.IntRange(2, 12).Draw(t, "one fault in"),
		}

		operations, err := cwonce.Simulate(script)
		if err != nil {
			t.Fatal(err)
		}

		all := make([]porcupine.Operation, 0, len(operations))
		for _, o := range operations {
			all = append(all, porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.From), Return: int64(o.To)})
		}

		if !porcupine.CheckOperations(atMostOnce, all) {
			t.Fatalf("the history is not at-most-once: %+v", script)
		}

		for v, n := range cwonce.Tally(operations).Verdicts {
			total[v] += n
		}
	})

	if total[carobward.Ran] == 0 || total[carobward.NotRun] == 0 || total[carobward.Unknown] == 0 {
		t.Errorf("the histories do not have every verdict: %v", total)
	}
}
