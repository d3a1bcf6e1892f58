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

// Cost is what a change of one target costs in a configuration in which each
// service has one target. Times and bytes are means per change.
type Cost struct {
	Services int
	// ApplyTime is the time that an entry VM takes to apply the change, as wall
	// clock time of a single goroutine. Allocated is the heap that it
	// allocates, in bytes.
	ApplyTime time.Duration
	Allocated uint64
	// WriteTime is the time that the writer takes.
	WriteTime time.Duration
	// ConfigBytes is the size of the configuration as JSON, ChangeBytes that of
	// the change, and HeadBytes what a watcher of the store reads for it.
	ConfigBytes, ChangeBytes, HeadBytes int
}

// largeChange returns a change that puts one target for each service.
func largeChange(services int) cwconfig.Change {
	change := Put("large", author, 0)
	for i := range services {
		change.Put = append(change.Put, Target(carobward.TargetName(fmt.Sprint("target-", i)), carobward.Service(fmt.Sprint("service-", i))))
	}

	return change
}

// Measure applies and writes a number of changes and returns their mean cost.
func Measure(services, changes int) (Cost, error) {
	cost := Cost{Services: services}

	if err := cost.measureApply(changes); err != nil {
		return cost, err
	}

	return cost, cost.measureWrite(changes)
}

// measureApply replays the same change repeatedly.
func (c *Cost) measureApply(changes int) error {
	config, _, err := (&cwconfig.Config{}).With(largeChange(c.Services))
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

	c.ApplyTime = time.Since(began) / time.Duration(changes)

	runtime.ReadMemStats(&after)

	c.Allocated = (after.TotalAlloc - before.TotalAlloc) / uint64(changes)
	c.ConfigBytes, c.ChangeBytes = size(config), size(change)

	return nil
}

// measureWrite makes changes one after the other through one writer.
func (c *Cost) measureWrite(changes int) error {
	ctx, store := context.Background(), cwstore.New()
	writer := cwconfig.NewWriter(store, cwconfig.NewHolder())

	if _, err := writer.Apply(ctx, largeChange(c.Services)); err != nil {
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

	c.WriteTime, c.HeadBytes = took/time.Duration(changes), read/changes

	return nil
}

// size returns the length of a value as JSON, in bytes.
func size(v any) int {
	raw, _ := json.Marshal(v)

	return len(raw)
}

// WriteCosts measures the cost for each number of services, with a number of
// changes each, and prints one line each.
func WriteCosts(to io.Writer, services []int, changes int) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "services\tapply ms\tallocated B\twrite ms\tconfig B\tchange B\thead B\t")

	for _, n := range services {
		c, err := Measure(n, changes)
		if err != nil {
			return errors.Annotatef(err, "spread: %d services", n)
		}

		_, _ = fmt.Fprintf(w, "%d\t%.3f\t%d\t%.3f\t%d\t%d\t%d\t\n",
			n, c.ApplyTime.Seconds()*millis, c.Allocated, c.WriteTime.Seconds()*millis, c.ConfigBytes, c.ChangeBytes, c.HeadBytes)
	}

	return errors.Annotate(w.Flush(), "spread")
}

// millis is the number of milliseconds in a second.
const millis = 1000
