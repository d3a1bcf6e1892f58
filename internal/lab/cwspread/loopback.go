package cwspread

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwkv"
	"carobward.example/carobward/internal/cwnode"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/lab/cwfleet"
)

const (
	// storePrefix is the prefix of the entry VMs' keys, see cwsettings.
	storePrefix = "carobward/"
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// changeDelay is the delay between two changes.
	changeDelay = 300 * time.Millisecond
)

// applyFunc makes a change.
type applyFunc func(context.Context, cwconfig.Change) (carobward.Revision, error)

// MeasureLoopback makes changes one after the other on complete entry VMs in
// this process, with net/rpc between them and the stand-in platform over HTTP.
// The case is ViaEntryVM, StoreOnly or Outage. Bytes and calls are not counted.
func MeasureLoopback(c Case, vms, changes int) (Result, error) {
	result := Result{Case: "loopback " + string(c), VMs: vms}

	f, err := cwfleet.New(cwfleet.Options{
		Name: "vm", Domains: []carobward.Domain{"Ifrane", "Ouarzazate", "Azilal"}, VMs: vms, Keep: time.Second,
	})
	if err != nil {
		return result, err
	}

	defer f.Close()

	if _, err := await(f.Nodes, 0, vms); err != nil {
		return result, err
	}

	apply := f.Nodes[0].Apply
	if c == StoreOnly {
		store := cwkv.New(f.Platform.URL(), storePrefix, storeTimeout, new(expvar.Map).Init())
		apply = cwconfig.NewWriter(store, cwconfig.NewHolder()).Apply
	}

	began := time.Now()

	for i := range changes {
		took, err := loopbackChange(f, apply, c, i)
		if err != nil {
			return result, err
		}

		result.Took = append(result.Took, took)

		time.Sleep(changeDelay)
	}

	result.Span = time.Since(began)
	slices.Sort(result.Took)

	return result, nil
}

// loopbackChange makes one change and returns the time from its acceptance
// until it is effective on each entry VM.
func loopbackChange(f *cwfleet.Fleet, apply applyFunc, c Case, base int) (time.Duration, error) {
	revision, err := apply(context.Background(), Put(fmt.Sprint("c", base), author, base, fee))
	if err != nil {
		return 0, err
	}

	f.Platform.SetFaults(cwstand.Faults{Down: c == Outage})
	defer f.Platform.SetFaults(cwstand.Faults{})

	return await(f.Nodes, revision, 1)
}

// await waits until a revision is effective on each of the entry VMs and each
// sees at least a number of live peers. It returns how long that took.
func await(nodes []*cwnode.Node, r carobward.Revision, live int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()

	began := time.Now()
	group := pool.New().WithErrors()

	for _, n := range nodes {
		group.Go(func() error { return n.Await(ctx, r, live) })
	}

	err := group.Wait()

	return time.Since(began), errors.Annotate(err, "spread")
}
