package cwspread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwstore"
)

// Cost is what one change of one target costs where each of so many services
// has one target. Times and bytes are means of one change.
type Cost struct {
	Services int
	// Taking is the processor time of an entry VM that has the change in
	// force, as wall clock of a single goroutine, and Allocated its heap.
	Taking    time.Duration
	Allocated uint64
	// Making is the same time at the writer.
	Making time.Duration
	// Whole is the configuration as JSON, Change the change, and Head what a
	// watcher of the store reads for it, in bytes.
	Whole, Change, Head int
}

// large returns a change that puts one target for each service.
func large(services int) cwconfig.Change {
	change := Put("large", author, 0)
	for i := range services {
		change.Put = append(change.Put, Target(carobward.TargetName(fmt.Sprint("target-", i)), carobward.Service(fmt.Sprint("service-", i))))
	}

	return change
}

// Measure takes and makes so many changes.
func Measure(services, changes int) (Cost, error) {
	cost := Cost{Services: services}

	if err := cost.take(changes); err != nil {
		return cost, err
	}

	return cost, cost.write(changes)
}

// take replays a change again and again.
func (c *Cost) take(changes int) error {
	config, _, err := (&cwconfig.Config{}).With(large(c.Services))
	if err != nil {
		return err
	}

	_, change, err := config.With(Put("one", author, 1, "target-0"))
	if err != nil {
		return err
	}

	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)

	began := time.Now()

	for range changes {
		if _, err := config.Replay([]cwconfig.Change{change}); err != nil {
			return err
		}
	}

	c.Taking = time.Since(began) / time.Duration(changes)

	runtime.ReadMemStats(&after)

	c.Allocated = (after.TotalAlloc - before.TotalAlloc) / uint64(changes)
	c.Whole, c.Change = size(config), size(change)

	return nil
}

// write makes changes one after the other at one writer.
func (c *Cost) write(changes int) error {
	ctx, store := context.Background(), cwstore.New()
	writer := cwconfig.NewWriter(store, cwconfig.NewHolder())

	if _, err := writer.Apply(ctx, large(c.Services)); err != nil {
		return err
	}

	var (
		took time.Duration
		read int
	)

	for i := 1; i <= changes; i++ {
		began := time.Now()

		if _, err := writer.Apply(ctx, Put(fmt.Sprint("c", i), author, i, "target-0")); err != nil {
			return err
		}

		took += time.Since(began)

		entry, err := store.Get(ctx, cwconfig.HeadKey)
		if err != nil {
			return err
		}

		read += len(entry.Value)
	}

	c.Making, c.Head = took/time.Duration(changes), read/changes

	return nil
}

// size returns the bytes of a value as JSON.
func size(v any) int {
	raw, _ := json.Marshal(v)

	return len(raw)
}

// WriteCosts measures with so many changes for each number of services and
// prints one line each.
func WriteCosts(to io.Writer, services []int, changes int) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "services\ttaking it ms\tallocated B\tmaking it ms\twhole B\tchange B\thead B\t")

	for _, n := range services {
		c, err := Measure(n, changes)
		if err != nil {
			return errors.Annotatef(err, "spread: %d services", n)
		}

		_, _ = fmt.Fprintf(w, "%d\t%.3f\t%d\t%.3f\t%d\t%d\t%d\t\n",
			n, c.Taking.Seconds()*millis, c.Allocated, c.Making.Seconds()*millis, c.Whole, c.Change, c.Head)
	}

	return errors.Annotate(w.Flush(), "spread")
}

// millis are the milliseconds of a second.
const millis = 1000
