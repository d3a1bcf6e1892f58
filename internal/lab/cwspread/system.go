package cwspread

import (
	"context"
	"fmt"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwstore"
)

// System is a fleet that a Scenario takes through faults.
type System interface {
	// change sets a target to a value by way of one entry VM, for an operator
	// who saw it there before, and tells whether it was accepted.
	change(vm int, target, value string) bool
	// look lets an operator see the configuration at one entry VM.
	look(vm int)
	// settle lets each entry VM read the store and meet its peers.
	settle()
	// join adds an entry VM. It tells whether that serves.
	join() bool
	// value returns what an entry VM has in force for a target.
	value(vm int, target string) string
	// size returns the number of entry VMs.
	size() int
	// platform returns the store.
	platform() *cwstore.Store
}

// product is a System of the product's own parts.
type product struct {
	*Fleet
	// base is the revision that the operator at each entry VM saw.
	base map[int]carobward.Revision
}

// NewProduct returns a System over a fleet whose entry VMs have joined.
func NewProduct(f *Fleet) System { return &product{Fleet: f, base: map[int]carobward.Revision{}} }

func (p *product) platform() *cwstore.Store { return p.Store }

func (p *product) size() int { return len(p.Order) }

func (p *product) look(vm int) { p.base[vm] = p.At(vm).Holder.Revision() }

func (p *product) change(vm int, name, value string) bool {
	c := Put(value, fmt.Sprint("operator-", vm), int(p.base[vm]), name)
	_, err := p.At(vm).Apply(c, true)

	return err == nil
}

func (p *product) settle() {
	for i := range p.Order {
		p.At(i).Syncer.Poll(context.Background())
	}

	p.Gossip()
}

func (p *product) join() bool { return p.Add(p.Store).Syncer.Join(context.Background(), true) }

func (p *product) value(vm int, name string) string { return valueOf(p.At(vm).Holder.Config(), name) }

// valueOf returns the service of a target, "" for none.
func valueOf(c *cwconfig.Config, name string) string {
	for i := range c.Set.Targets {
		if string(c.Set.Targets[i].Name) == name {
			return string(c.Set.Targets[i].Service)
		}
	}

	return ""
}
