package cwowner_test

import (
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwfee"
)

// work is the state of one fee: the run that happened, and the tickets that
// were answered not-run.
type work struct {
	serial int
	by     string
	closed string
}

// atMostOnce is the promise: a fee runs once at most, whoever retries it; a
// ticket that was answered not-run has not run before and does not run after;
// every answer is that of the one run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) (all [][]porcupine.Operation) {
		byFee := map[string][]porcupine.Operation{}
		for _, o := range history {
			fee := o.Input.(cwfee.Operation).Fee
			byFee[fee] = append(byFee[fee], o)
		}

		for _, o := range byFee {
			all = append(all, o)
		}

		return all
	},
	Init: func() any { return work{} },
	Step: func(state, input, _ any) (bool, any) {
		w, o := state.(work), input.(cwfee.Operation)
		shut := strings.Contains(w.closed, o.Ticket+" ")

		switch {
		case o.Run:
			ok := w.serial == 0 && !shut
			w.serial, w.by = o.Serial, o.Ticket

			return ok, w
		case o.Verdict == carobward.Ran:
			return w.serial == o.Serial, w
		case o.Verdict == carobward.NotRun:
			if !shut {
				w.closed += o.Ticket + " "
			}

			return w.by != o.Ticket, w
		default:
			return true, w
		}
	},
}

// TestHistories checks what concurrent callers were told against what ran,
// through lost and late messages and replies, sheds, kills, freezes and
// hand-overs.
func TestHistories(t *testing.T) {
	total := map[carobward.Verdict]int{}

	rapid.Check(t, func(t *rapid.T) {
		script := cwfee.Script{
			Seed:     rapid.Uint64().Draw(t, "seed"),
			Troubles: rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(cwfee.Troubles)-1), func(n int) cwfee.Trouble { return cwfee.Trouble(n) }), 0, 6).Draw(t, "troubles"),
			OneIn:    rapid.IntRange(2, 12).Draw(t, "one fault in"),
		}

		played, err := cwfee.Play(script)
		if err != nil {
			t.Fatal(err)
		}

		all := make([]porcupine.Operation, 0, len(played))
		for _, o := range played {
			all = append(all, porcupine.Operation{ClientId: o.Client, Input: o, Call: int64(o.From), Return: int64(o.To)})
		}

		if !porcupine.CheckOperations(atMostOnce, all) {
			t.Fatalf("not at most once: %+v", script)
		}

		for v, n := range cwfee.Tally(played).Told {
			total[v] += n
		}
	})

	if total[carobward.Ran] == 0 || total[carobward.NotRun] == 0 || total[carobward.Unknown] == 0 {
		t.Errorf("the histories lack a verdict: %v", total)
	}
}
