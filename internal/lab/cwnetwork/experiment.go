package cwnetwork

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The lengths of the phases of an experiment.
const (
	// smallSettleTimeout suits the usual fleet sizes, settleTimeout any size.
	smallSettleTimeout = time.Minute
	settleTimeout      = 3 * time.Minute
	settleTime         = 2 * time.Minute
	measureTime        = time.Minute
	detectionTimeout   = time.Minute
	partitionTime      = time.Minute
	healTime           = 10 * time.Second
	healTimeout        = 2 * time.Minute
	domainLossTime     = 20 * time.Second
	day                = 24 * time.Hour
)

// How many regions and failure domains there are, of which one is lost at once.
const (
	regions = 8
	domains = 16
)

// Cost is the cost of membership in a fleet of one size: the bytes per second
// that a VM sends on average, including UDP and IP headers, and the time until
// a crash is detected.
type Cost struct {
	VMs int
	// Calm is the cost while nothing happens, Restarts while VMs are replaced.
	Calm, Restarts float64
	// First, All and Known are the times after a crash until one VM suspects
	// it, all suspect it and all consider the crashed VM dead.
	First, All, Known time.Duration
}

// Measure measures the cost, with a number of restarts per day in the whole
// fleet.
func Measure(size, restarts int, seed uint64) (Cost, error) {
	c := Cost{VMs: size}

	n, err := Settled(size, seed, settleTimeout)
	if err != nil {
		return c, err
	}

	n.Run(settleTime, nil)
	c.Calm = n.rate(measureTime, 0)
	c.Restarts = n.rate(measureTime, day/time.Duration(restarts))
	n.VMs[0].Down = true

	crashed := n.Now
	for _, step := range []struct {
		what  string
		state carobward.PeerState
		count int
		took  *time.Duration
	}{
		{"one VM suspects the crash", carobward.PeerSuspect, 1, &c.First},
		{"all VMs suspect the crash", carobward.PeerSuspect, size - 1, &c.All},
		{"all VMs consider the crashed VM dead", carobward.PeerDead, size - 1, &c.Known},
	} {
		if _, err := n.RunUntil(detectionTimeout, step.what, func() bool { return n.CountState(0, step.state) >= step.count }); err != nil {
			return c, err
		}

		*step.took = n.Now.Sub(crashed)
	}

	return c, nil
}

// WriteCosts writes a table of the cost by fleet size.
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

// Peaks has the bytes that a VM sends on average in the worst second: while a
// region is cut off for a minute, after the partition has healed, and after a
// failure domain is lost; and the time after the partition until all VMs see
// each other again.
type Peaks struct {
	VMs               int
	Cut, Healed, Lost float64
	Recovery          time.Duration
}

// MeasurePeaks measures the worst seconds of rare events.
func MeasurePeaks(size int, seed uint64) (Peaks, error) {
	p := Peaks{VMs: size}

	n, err := Settled(size, seed, settleTimeout)
	if err != nil {
		return p, err
	}

	n.Blocked = func(from, to int) bool { return (from%regions == 2) != (to%regions == 2) }
	p.Cut = n.peak(partitionTime)
	n.Blocked = noBlock

	begin := n.Now
	p.Healed = n.peak(healTime)

	if _, err := n.RunUntil(healTimeout, "all VMs see each other", n.Converged); err != nil {
		return p, err
	}

	p.Recovery = n.Now.Sub(begin)

	for i, v := range n.VMs {
		v.Down = i%domains == 3
	}

	p.Lost = n.peak(domainLossTime)

	return p, nil
}

// WritePeaks writes a table of the worst seconds.
func WritePeaks(w io.Writer, sizes []int, seed uint64) error {
	_, _ = fmt.Fprintf(w, "%5s %10s %10s %10s %9s\n", "VMs", "cut B/s", "healed B/s", "lost B/s", "whole s")

	for _, size := range sizes {
		p, err := MeasurePeaks(size, seed)
		if err != nil {
			return err
		}

		if _, err := fmt.Fprintf(w, "%5d %10.0f %10.0f %10.0f %9.1f\n", p.VMs, p.Cut, p.Healed, p.Lost, p.Recovery.Seconds()); err != nil {
			return errors.Annotate(err, "network")
		}
	}

	return nil
}

// WriteFaults writes a table of the false deaths of the product and of the
// naive version, under the same faults and seeds.
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

// Compare counts the false deaths of the product and of the naive version over
// the seeds from zero.
func (f *Fault) Compare(size, seeds int) (ours, naive int, err error) {
	for seed := range uint64(seeds) {
		n, err := Settled(size, seed, smallSettleTimeout)
		if err != nil {
			return 0, 0, err
		}

		ours += f.Run(n)
		naive += f.Run(New(size, seed, Naive))
	}

	return ours, naive, nil
}
