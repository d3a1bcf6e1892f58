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

// Kind is what an operator was told of a change.
type Kind string

// The kinds.
const (
	// Accepted: the change is in force or will be.
	Accepted Kind = "accepted"
	// Unknown: it may have been accepted.
	Unknown Kind = "unknown"
	// Conflicting: another one changed the same; nothing was changed.
	Conflicting Kind = "conflict"
	// Down: the store did not answer, or others were faster; nothing was
	// changed.
	Down Kind = "down"
	// Failed is anything else; the operator's change was refused.
	Failed Kind = "failed"
)

// Attempt is a change that one of several operators tried to make.
type Attempt struct {
	// Operator numbers the operator.
	Operator int
	// ID and Target name the change and the target that it puts.
	ID     carobward.ChangeID
	Target carobward.TargetName
	// Base is the revision that the operator saw.
	Base carobward.Revision
	// Kind is what the operator was told.
	Kind Kind
	// Revision is the one that the change was accepted as.
	Revision carobward.Revision
	// Other is the change that a conflict named.
	Other carobward.ChangeID
	// Call and Return are when the attempt began and ended, from the start.
	Call, Return time.Duration
}

// The size of a run of operators.
const (
	operators    = 4
	attempts     = 8
	shared       = 3
	patienceStep = 20 * time.Millisecond
)

// Of faultOf calls so many are lost, dropped or don't reach the store.
const (
	faultOf      = 20
	faultLost    = 4
	faultDropped = faultLost + 2
	faultDown    = faultDropped + 1
)

// Operators lets concurrent operators change a few targets, each by way of an
// entry VM of its own, while replies and writes are lost and calls don't reach
// the store. It returns the attempts and the store with its faults ended. The
// seed sets the faults; the order in which the operators meet them is not
// fixed.
func Operators(seed uint64) ([]Attempt, *cwstore.Store) {
	f := New(operators, carobward.SystemClock{})
	f.Store.Fault = faulty(rand.New(rand.NewPCG(seed, 1)))

	var (
		mutex sync.Mutex
		all   []Attempt
		group conc.WaitGroup
	)

	began := time.Now()

	for who := range operators {
		group.Go(func() {
			for i := range attempts {
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

// faulty returns faults at random. The store calls it under its mutex.
func faulty(rng *rand.Rand) func(bool, carobward.Key) cwstore.Fault {
	return func(write bool, _ carobward.Key) cwstore.Fault {
		switch n := rng.IntN(faultOf); {
		case write && n < faultLost:
			return cwstore.Lost
		case write && n < faultDropped:
			return cwstore.Dropped
		case n < faultDown:
			return cwstore.Down
		default:
			return cwstore.Well
		}
	}
}

// attempt makes one change and then reads the store.
func (v *VM) attempt(who, number int, began time.Time) Attempt {
	a := Attempt{
		Operator: who, ID: carobward.ChangeID(fmt.Sprintf("c%d-%d", who, number)),
		Target: carobward.TargetName(fmt.Sprint("t", (who+number)%shared)), Base: v.Holder.Revision(),
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(number%shared)*patienceStep)
	defer cancel()

	a.Call = time.Since(began)
	revision, err := v.Writer.Apply(ctx, Put(string(a.ID), fmt.Sprint("operator-", who), int(a.Base), string(a.Target)))
	a.Return = time.Since(began)
	a.told(revision, err)

	v.Syncer.Poll(context.Background())

	return a
}

// told notes what the operator was told.
func (a *Attempt) told(revision carobward.Revision, err error) {
	var conflict *cwconfig.Conflict

	switch {
	case err == nil:
		a.Kind, a.Revision = Accepted, revision
	case errors.Is(err, carobward.ErrStoreUnknown):
		a.Kind = Unknown
	case errors.As(err, &conflict):
		a.Kind, a.Other = Conflicting, conflict.Other.ID
	case errors.Is(err, carobward.ErrStoreDown), errors.Is(err, carobward.ErrConflict):
		a.Kind = Down
	default:
		a.Kind = Failed
	}
}

// WriteOperators runs Operators with so many seeds, counted up, and prints
// how many of the attempts had which outcome.
func WriteOperators(to io.Writer, seed uint64, seeds int) error {
	kinds := []Kind{Accepted, Unknown, Conflicting, Down, Failed}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(w, "seed\tattempts\t")

	for _, k := range kinds {
		_, _ = fmt.Fprintf(w, "%s\t", k)
	}

	for i := range uint64(max(seeds, 1)) {
		all, _ := Operators(seed + i)

		count := map[Kind]int{}
		for _, a := range all {
			count[a.Kind]++
		}

		_, _ = fmt.Fprintf(w, "\n%d\t%d\t", seed+i, len(all))

		for _, k := range kinds {
			_, _ = fmt.Fprintf(w, "%d\t", count[k])
		}
	}

	_, _ = fmt.Fprintln(w)

	return errors.Annotate(w.Flush(), "spread")
}
