package cwspread

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwstore"
)

// Outcome is the result of a change as reported to its operator.
type Outcome string

// The outcomes.
const (
	// Accepted: the change is effective or will be.
	Accepted Outcome = "accepted"
	// Unknown: the change may have been accepted.
	Unknown Outcome = "unknown"
	// Conflicting: another change of the same target came first; nothing was
	// changed.
	Conflicting Outcome = "conflict"
	// Down: the store did not answer, or concurrent writers won each time;
	// nothing was changed.
	Down Outcome = "down"
	// Failed is any other error; the change was refused.
	Failed Outcome = "failed"
)

// Attempt is a change that one of several operators tried to make.
type Attempt struct {
	// Operator is the operator's number.
	Operator int
	// ID is the id of the change, Target the target that it puts.
	ID     carobward.ChangeID
	Target carobward.TargetName
	// Base is the revision that the operator saw.
	Base carobward.Revision
	// Outcome is the result that was reported to the operator.
	Outcome Outcome
	// Revision is the revision as which the change was accepted.
	Revision carobward.Revision
	// Other is the change that a conflict named.
	Other carobward.ChangeID
	// Call and Return are when the attempt began and ended, since the start of
	// the run.
	Call, Return time.Duration
}

// The parameters of a run of operators.
const (
	operatorCount = 4
	attemptsEach  = 8
	targetCount   = 3
	timeoutStep   = 20 * time.Millisecond
)

// A random number below faultRange decides the fault of a call: below faultLost
// the reply is lost, below faultDropped the write, and below faultDown the call
// does not reach the store.
const (
	faultRange   = 20
	faultLost    = 4
	faultDropped = faultLost + 2
	faultDown    = faultDropped + 1
)

// RunOperators lets concurrent operators change a few targets, each through an
// entry VM of its own, while replies and writes are lost and calls don't reach
// the store. It returns the attempts and the store, whose faults have ended.
// The seed determines the faults, but not the order in which the operators meet
// them.
func RunOperators(seed uint64) ([]Attempt, *cwstore.Store) {
	f := New(operatorCount, carobward.SystemClock{})
	f.Store.Fault = faulty(rand.New(rand.NewPCG(seed, 1)))

	var (
		mutex sync.Mutex
		all   []Attempt
		group conc.WaitGroup
	)

	began := time.Now()

	for who := range operatorCount {
		group.Go(func() {
			for i := range attemptsEach {
				a := f.At(who).attempt(who, i, began)

				mutex.Lock()
				all = append(all, a)
				mutex.Unlock()
			}
		})
	}

	group.Wait()

	f.Store.Fault = nil

	return all, f.Store
}

// faulty returns random faults. The store calls the function under its mutex.
func faulty(rng *rand.Rand) func(bool, carobward.Key) cwstore.Fault {
	return func(write bool, _ carobward.Key) cwstore.Fault {
		switch n := rng.IntN(faultRange); {
		case write && n < faultLost:
			return cwstore.Lost
		case write && n < faultDropped:
			return cwstore.Dropped
		case n < faultDown:
			return cwstore.Down
		default:
			return cwstore.NoFault
		}
	}
}

// attempt makes one change and then reads the store.
func (v *VM) attempt(who, number int, began time.Time) Attempt {
	a := Attempt{
		Operator: who, ID: carobward.ChangeID(fmt.Sprintf("c%d-%d", who, number)),
		Target: carobward.TargetName(fmt.Sprint("t", (who+number)%targetCount)), Base: v.Holder.Revision(),
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(number%targetCount)*timeoutStep)
	defer cancel()

	a.Call = time.Since(began)
	revision, err := v.Writer.Apply(ctx, Put(string(a.ID), fmt.Sprint("operator-", who), int(a.Base), string(a.Target)))
	a.Return = time.Since(began)
	a.setOutcome(revision, err)

	v.Syncer.Poll(context.Background())

	return a
}

// setOutcome records the result that is reported to the operator.
func (a *Attempt) setOutcome(revision carobward.Revision, err error) {
	var conflict *cwconfig.Conflict

	switch {
	case err == nil:
		a.Outcome, a.Revision = Accepted, revision
	case errors.Is(err, carobward.ErrStoreUnknown):
		a.Outcome = Unknown
	case errors.As(err, &conflict):
		a.Outcome, a.Other = Conflicting, conflict.Other.ID
	case errors.Is(err, carobward.ErrStoreDown), errors.Is(err, carobward.ErrConflict):
		a.Outcome = Down
	default:
		a.Outcome = Failed
	}
}

// WriteOperators runs RunOperators with consecutive seeds and prints how many
// of the attempts had which outcome.
func WriteOperators(to io.Writer, seed uint64, seeds int) error {
	outcomes := []Outcome{Accepted, Unknown, Conflicting, Down, Failed}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(w, "seed\tattempts\t")

	for _, k := range outcomes {
		_, _ = fmt.Fprintf(w, "%s\t", k)
	}

	for i := range uint64(max(seeds, 1)) {
		all, _ := RunOperators(seed + i)

		count := map[Outcome]int{}
		for _, a := range all {
			count[a.Outcome]++
		}

		_, _ = fmt.Fprintf(w, "\n%d\t%d\t", seed+i, len(all))

		for _, k := range outcomes {
			_, _ = fmt.Fprintf(w, "%d\t", count[k])
		}
	}

	_, _ = fmt.Fprintln(w)

	return errors.Annotate(w.Flush(), "spread")
}
