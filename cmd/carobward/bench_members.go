package main

import (
	"os"
	"slices"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/lab/cwnetwork"
)

const usageBenchMembers = `Measure membership between entry VMs on a network in memory: the bytes that a
VM sends a second while nothing happens and while VMs are restarted, and the
time until a crash is suspected and detected, by the fleet's size. The same
seed gives the same table. Headers of UDP and IP are counted.

With --parts it measures the worst second after a region is partitioned off,
after the partition has healed and after a failure domain is lost. With --faults
it counts false deaths, also those of a naive version in which each VM sends a
heartbeat to all others every second, with a timeout of 5 s.

  carobward bench members
  carobward bench members --parts --size 50 --size 200
  carobward bench members --faults --seeds 2`

type benchMembersCommand struct {
	Sizes    []int  `long:"size" default:"16" default:"50" default:"100" default:"200" description:"Entry VMs; again for each size."`
	Seed     uint64 `long:"seed" default:"0" description:"The seed."`
	Restarts int    `long:"restarts" default:"2000" description:"Restarts a day in the whole fleet."`
	Parts    bool   `long:"parts" description:"Measure the worst seconds of rare events."`
	Faults   bool   `long:"faults" description:"Count false deaths."`
	Fleet    int    `long:"fleet" default:"19" description:"Entry VMs of --faults."`
	Seeds    int    `long:"seeds" default:"2" description:"Seeds of --faults, counted up from 0; their deaths are added up."`
}

// The minimum fleet sizes for which the experiments are meaningful.
const (
	minMembers     = 2
	minFaultsFleet = 6
)

// Execute prints the table.
func (c *benchMembersCommand) Execute([]string) error {
	switch {
	case c.Restarts < 1:
		return errors.New("bench members: --restarts must be at least 1")
	case slices.Min(c.Sizes) < minMembers:
		return errors.Errorf("bench members: --size must be at least %d", minMembers)
	case c.Faults:
		return c.faults()
	case c.Parts:
		return cwnetwork.WritePeaks(os.Stdout, c.Sizes, c.Seed)
	default:
		return cwnetwork.WriteCosts(os.Stdout, c.Sizes, c.Restarts, c.Seed)
	}
}

func (c *benchMembersCommand) faults() error {
	if c.Fleet < minFaultsFleet {
		return errors.Errorf("bench members: --fleet must be at least %d", minFaultsFleet)
	}

	return cwnetwork.WriteFaults(os.Stdout, c.Fleet, c.Seeds)
}
