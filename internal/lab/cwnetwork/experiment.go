package cwnetwork

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The lengths of the parts of an experiment.
const (
	// settleSoon is for today's sizes, settleMost for any.
	settleSoon = time.Minute
	settleMost = 3 * time.Minute
	quiet      = 2 * time.Minute
	watched    = time.Minute
	crashMost  = time.Minute
	cutLong    = time.Minute
	healWatch  = 10 * time.Second
	healMost   = 2 * time.Minute
	domainLong = 20 * time.Second
	day        = 24 * time.Hour
)

// What is lost at once: one region of so many, one failure domain of so many.
const (
	regions = 8
	domains = 16
)

// Cost is what membership costs in a fleet of a size, in bytes a second that
// a VM sends on average, headers of UDP and IP counted, and how long it takes
// until a crash is known.
type Cost struct {
	VMs int
	// Calm is with nothing happening, Restarts with VMs replaced.
	Calm, Restarts float64
	// First, All and Known are the times after a crash until one suspects,
	// all suspect and all know.
	First, All, Known time.Duration
}

// Measure measures the cost, with so many restarts a day in the whole fleet.
func Measure(size, restarts int, seed uint64) (Cost, error) {
	c := Cost{VMs: size}

	n, err := Settled(size, seed, settleMost)
	if err != nil {
		return c, err
	}

	n.Run(quiet, nil)
	c.Calm = n.rate(watched, 0)
	c.Restarts = n.rate(watched, day/time.Duration(restarts))
	n.VMs[0].Down = true

	crashed := n.Now
	for _, step := range []struct {
		what  string
		state carobward.PeerState
		count int
		took  *time.Duration
	}{
		{"one suspects", carobward.PeerSuspect, 1, &c.First},
		{"all suspect", carobward.PeerSuspect, size - 1, &c.All},
		{"all know", carobward.PeerDead, size - 1, &c.Known},
	} {
		if _, err := n.Until(crashMost, step.what, func() bool { return n.Doubt(0, step.state) >= step.count }); err != nil {
			return c, err
		}

		*step.took = n.Now.Sub(crashed)
	}

	return c, nil
}

// WriteCosts writes a table of the cost against the fleet's size.
func WriteCosts(w io.Writer, sizes []int, restarts int, seed uint64) error {
	_, _ = fmt.Fprintf(w, "%5s %10s %10s %9s %9s %9s\n", "VMs", "calm B/s", "busy B/s", "first s", "all s", "known s")

	for _, size := range sizes {
		c, err := Measure(size, restarts, seed)
		if err != nil {
			return err
		}

		if _, err := fmt.Fprintf(w, "%5d %10.0f %10.0f %9.1f %9.1f %9.1f\n",
			c.VMs, c.Calm, c.Restarts, c.First.Seconds(), c.All.Seconds(), c.Known.Seconds()); err != nil {
			return errors.Annotate(err, "network")
		}
	}

	return nil
}

// Parts are the bytes a VM sends on average in the worst second: after a
// region has been cut off for a minute, after that is over and after a
// failure domain is lost; and the time until all see all again.
type Parts struct {
	VMs               int
	Cut, Healed, Lost float64
	Whole             time.Duration
}

// MeasureParts measures the worst seconds of rare events.
func MeasureParts(size int, seed uint64) (Parts, error) {
	p := Parts{VMs: size}

	n, err := Settled(size, seed, settleMost)
	if err != nil {
		return p, err
	}

	n.Cut = func(from, to int) bool { return (from%regions == 2) != (to%regions == 2) }
	p.Cut = n.worst(cutLong)
	n.Cut = none

	begin := n.Now
	p.Healed = n.worst(healWatch)

	if _, err := n.Until(healMost, "all see all", n.Whole); err != nil {
		return p, err
	}

	p.Whole = n.Now.Sub(begin)

	for i, v := range n.VMs {
		v.Down = i%domains == 3
	}

	p.Lost = n.worst(domainLong)

	return p, nil
}

// WriteParts writes a table of the worst seconds.
func WriteParts(w io.Writer, sizes []int, seed uint64) error {
	_, _ = fmt.Fprintf(w, "%5s %10s %10s %10s %9s\n", "VMs", "cut B/s", "healed B/s", "lost B/s", "whole s")

	for _, size := range sizes {
		p, err := MeasureParts(size, seed)
		if err != nil {
			return err
		}

		if _, err := fmt.Fprintf(w, "%5d %10.0f %10.0f %10.0f %9.1f\n", p.VMs, p.Cut, p.Healed, p.Lost, p.Whole.Seconds()); err != nil {
			return errors.Annotate(err, "network")
		}
	}

	return nil
}

// WriteFaults writes a table of the false deaths, ours and those of the naive
// version, under the same faults and seeds.
func WriteFaults(w io.Writer, size, seeds int) error {
	_, _ = fmt.Fprintf(w, "%5s %6s  fault, %d VMs\n", "ours", "naive", size)

	for _, f := range Faults() {
		ours, naive, err := f.Compare(size, seeds)
		if err != nil {
			return err
		}

		if _, err := fmt.Fprintf(w, "%5d %6d  %s\n", ours, naive, f.Name); err != nil {
			return errors.Annotate(err, "network")
		}
	}

	return nil
}

// Compare counts the false deaths of ours and of the naive version over the
// seeds from zero.
func (f *Fault) Compare(size, seeds int) (ours, naive int, err error) {
	for seed := range uint64(seeds) {
		n, err := Settled(size, seed, settleSoon)
		if err != nil {
			return 0, 0, err
		}

		ours += f.Run(n)
		naive += f.Run(New(size, seed, Naive))
	}

	return ours, naive, nil
}
