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

// Case is the way in which a change reaches the fleet.
type Case string

// The cases.
const (
	// ViaEntryVM: the change is made through an entry VM.
	ViaEntryVM Case = "well"
	// StoreOnly: the change is written to the store by a writer that notifies
	// no entry VM.
	StoreOnly Case = "quiet"
	// PausedWatchers is StoreOnly while all watchers of the store are paused
	// without being detected by the others.
	PausedWatchers Case = "frozen"
	// Outage: the store goes down once it has accepted the change. This case
	// runs over loopback only.
	Outage Case = "outage"
	// Idle: nothing is changed.
	Idle Case = "idle"
)

const (
	// settleTimeout bounds the wait for a fleet to be ready or for a change to
	// be effective.
	settleTimeout = time.Minute
	// settleInterval is the interval between two checks.
	settleInterval = time.Millisecond
)

// author is the author of the changes.
const author = "ana"

// errNoVM is returned if a case leaves no entry VM to measure.
const errNoVM = errors.ConstError("spread: every entry VM watches the store, so that none is left")

// fleet starts a fleet in a case and waits until its entry VMs that are not
// paused are ready.
func (c Case) fleet(vms int) (f *Fleet, running []*VM, stop func(), err error) {
	f = New(vms, carobward.SystemClock{})

	numbers := make([]int, vms)
	for i := range numbers {
		numbers[i] = i
	}

	if c == PausedWatchers {
		numbers = f.PauseWatchers()
	}

	for _, i := range numbers {
		running = append(running, f.At(i))
	}

	if len(running) == 0 {
		return nil, nil, nil, errNoVM
	}

	stop = f.Start()

	if err := settle(running, func(v *VM) bool { return v.Syncer.Condition().Ready }); err != nil {
		stop()

		return nil, nil, nil, err
	}

	return f, running, stop, nil
}

// settle waits until ok is true of each entry VM.
func settle(all []*VM, ok func(*VM) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()

	for _, v := range all {
		for !ok(v) {
			select {
			case <-ctx.Done():
				return errors.Errorf("spread: %s is not up to date after %s", v.self.ID, settleTimeout)
			case <-time.After(settleInterval):
			}
		}
	}

	return nil
}

// MeasurePropagation makes a number of changes, each as soon as the previous
// one is effective. The case is ViaEntryVM, StoreOnly or PausedWatchers.
func MeasurePropagation(c Case, vms, changes int) (Result, error) {
	result := Result{Case: string(c), VMs: vms, Counted: true}

	f, running, stop, err := c.fleet(vms)
	if errors.Is(err, errNoVM) {
		result.Counted = false

		return result, nil
	}

	if err != nil {
		return result, err
	}

	defer stop()

	writer := running[0].Writer
	if c != ViaEntryVM {
		writer = cwconfig.NewWriter(f.Store, cwconfig.NewHolder())
	}

	began, bytes, calls := time.Now(), f.sent(), f.Store.Calls()

	for i := range changes {
		took, err := measureChange(writer, running, i)
		if err != nil {
			return result, err
		}

		result.Took = append(result.Took, took)
	}

	result.Span, result.Bytes, result.Calls = time.Since(began), f.sent()-bytes, f.Store.Calls()-calls
	slices.Sort(result.Took)

	return result, nil
}

// measureChange makes one change and returns the time until it is effective on
// all of the entry VMs.
func measureChange(writer *cwconfig.Writer, all []*VM, base int) (time.Duration, error) {
	began := time.Now()

	revision, err := writer.Apply(context.Background(), Put(fmt.Sprint("c", base), author, base, fee))
	if err != nil {
		return 0, err
	}

	err = settle(all, func(v *VM) bool { return v.Holder.Revision() >= revision })

	return time.Since(began), err
}

// MeasureIdle lets a fleet run for a while without any change.
func MeasureIdle(ctx context.Context, vms int, span time.Duration) (Result, error) {
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
