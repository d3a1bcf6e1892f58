package cwfee

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Operation is one of a history: a run on a server, or a caller's request and
// what it was told.
type Operation struct {
	// Client numbers who sent it; runs have noClient.
	Client int
	// Fee names the work, which may go through several tickets.
	Fee, Ticket string
	// Run tells that this is a run, not a request.
	Run bool
	// Verdict is what a request was told.
	Verdict carobward.Verdict
	// Serial numbers the runs. A request that ran has that of its answer.
	Serial int
	// From and To are when it began and ended, from the start.
	From, To time.Duration
}

// noClient is the Client of runs.
const noClient = -1

// history collects operations.
type history struct {
	mutex sync.Mutex
	start time.Time
	all   []Operation
}

// add adds an operation that ends now.
func (h *history) add(o Operation, from time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	o.From, o.To = from.Sub(h.start), time.Since(h.start)
	h.all = append(h.all, o)
}

// Tally counts a history's answers, and what in it breaks the promise: fees
// that ran twice, answers of another run than the one that was, and tickets
// that ran though they were answered not-run.
func Tally(all []Operation) Count {
	c := Count{Told: map[carobward.Verdict]int{}}
	runs, by := map[string]int{}, map[string]Operation{}

	for _, o := range all {
		if !o.Run {
			continue
		}

		c.Runs++
		runs[o.Fee]++
		by[o.Fee] = o

		if runs[o.Fee] == 2 {
			c.Twice++
		}
	}

	for _, o := range all {
		if o.Run {
			continue
		}

		c.Told[o.Verdict]++

		if run := by[o.Fee]; (o.Verdict == carobward.Ran && run.Serial != o.Serial) ||
			(o.Verdict == carobward.NotRun && run.Ticket == o.Ticket) {
			c.Wrong++
		}
	}

	return c
}
