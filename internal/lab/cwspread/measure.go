package cwspread

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// Case is a way that a change reaches the fleet.
type Case string

// The cases.
const (
	// Well: the change is made by way of an entry VM.
	Well Case = "well"
	// Quiet: a writer makes it that tells only the store.
	Quiet Case = "quiet"
	// FrozenWatchers is Quiet with all watchers of the store frozen, which
	// the others don't notice.
	FrozenWatchers Case = "frozen"
	// Outage: the store is gone once it has accepted the change. It is tried
	// over loopback only.
	Outage Case = "outage"
	// Idle: nothing is changed.
	Idle Case = "idle"
)

const (
	// settleMost bounds the wait for a fleet or for a change.
	settleMost = time.Minute
	// settlePoll is the time between two looks.
	settlePoll = time.Millisecond
)

// author is who makes the changes.
const author = "ana"

// errNobody tells that a case leaves no entry VM to measure.
const errNobody = errors.ConstError("spread: every entry VM watches the store, so that none is left")

// fleet starts a fleet in a case and waits until those of its entry VMs are
// ready that are well.
func (c Case) fleet(vms int) (f *Fleet, well []*VM, stop func(), err error) {
	f = New(vms, carobward.SystemClock{})

	numbers := make([]int, vms)
	for i := range numbers {
		numbers[i] = i
	}

	if c == FrozenWatchers {
		numbers = f.Freeze()
	}

	for _, i := range numbers {
		well = append(well, f.At(i))
	}

	if len(well) == 0 {
		return nil, nil, nil, errNobody
	}

	stop = f.Start()

	if err := settle(well, func(v *VM) bool { return v.Syncer.Condition().Ready }); err != nil {
		stop()

		return nil, nil, nil, err
	}

	return f, well, stop, nil
}

// settle waits until ok is true of each entry VM.
func settle(all []*VM, ok func(*VM) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleMost)
	defer cancel()

	for _, v := range all {
		for !ok(v) {
			select {
			case <-ctx.Done():
				return errors.Errorf("spread: %s is not up to date after %s", v.self.ID, settleMost)
			case <-time.After(settlePoll):
			}
		}
	}

	return nil
}

// Spread makes so many changes, each as soon as the one before is in force,
// in one of the cases Well, Quiet and FrozenWatchers.
func Spread(c Case, vms, changes int) (Result, error) {
	result := Result{Case: string(c), VMs: vms, Counted: true}

	f, well, stop, err := c.fleet(vms)
	if errors.Is(err, errNobody) {
		result.Counted = false

		return result, nil
	}

	if err != nil {
		return result, err
	}

	defer stop()

	writer := well[0].Writer
	if c != Well {
		writer = cwconfig.NewWriter(f.Store, cwconfig.NewHolder())
	}

	began, bytes, calls := time.Now(), f.sent(), f.Store.Calls()

	for i := range changes {
		took, err := inForce(writer, well, i)
		if err != nil {
			return result, err
		}

		result.Took = append(result.Took, took)
	}

	result.Span, result.Bytes, result.Calls = time.Since(began), f.sent()-bytes, f.Store.Calls()-calls
	slices.Sort(result.Took)

	return result, nil
}

// inForce makes one change and returns the time until it is in force on all
// of the entry VMs.
func inForce(writer *cwconfig.Writer, all []*VM, base int) (time.Duration, error) {
	began := time.Now()

	revision, err := writer.Apply(context.Background(), Put(fmt.Sprint("c", base), author, base, fee))
	if err != nil {
		return 0, err
	}

	err = settle(all, func(v *VM) bool { return v.Holder.Revision() >= revision })

	return time.Since(began), err
}

// Rest lets a fleet run for a while without any change.
func Rest(ctx context.Context, vms int, span time.Duration) (Result, error) {
	result := Result{Case: string(Idle), VMs: vms, Counted: true}

	f, _, stop, err := Idle.fleet(vms)
	if err != nil {
		return result, err
	}

	defer stop()

	began, bytes, calls := time.Now(), f.sent(), f.Store.Calls()

	select {
	case <-ctx.Done():
		return result, errors.Annotate(ctx.Err(), "spread")
	case <-time.After(span):
	}

	result.Span, result.Bytes, result.Calls = time.Since(began), f.sent()-bytes, f.Store.Calls()-calls

	return result, nil
}
