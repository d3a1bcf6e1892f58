package cwonce

import (
	"sync"
	"time"

	"carobward.example/carobward"
)

// Operation is one entry of a history: a run on a server, or a caller's request
// with the verdict that it received.
type Operation struct {
	// Client numbers the sender; runs have noClient.
	Client int
	// Fee names the work, which may be tried with several tickets.
	Fee, Ticket string
	// Run reports whether this is a run, not a request.
	Run bool
	// Verdict is the verdict that the caller of a request received.
	Verdict carobward.Verdict
	// Serial numbers the runs. A request that ran has the serial of the run
	// that answered it.
	Serial int
	// From and To are when the operation began and ended, since the start of
	// the history.
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

// add records an operation that ends now.
func (h *history) add(o Operation, from time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	o.From, o.To = from.Sub(h.start), time.Since(h.start)
	h.all = append(h.all, o)
}

// Tally counts the verdicts of a history and its violations of at-most-once:
// fees that ran twice, replies of another run than the last, and tickets that
// ran although the caller received the verdict not-run.
func Tally(all []Operation) Count {
	c := Count{Verdicts: map[carobward.Verdict]int{}}
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

		c.Verdicts[o.Verdict]++

		if run := by[o.Fee]; (o.Verdict == carobward.Ran && run.Serial != o.Serial) ||
			(o.Verdict == carobward.NotRun && run.Ticket == o.Ticket) {
			c.Wrong++
		}
	}

	return c
}
