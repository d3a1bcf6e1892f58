package cwspread

import (
	"context"
	"fmt"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/lab/cwstore"
)

// System is a fleet that a Scenario subjects to faults.
type System interface {
	// change sets a target to a value through one entry VM, on behalf of an
	// operator who viewed the configuration there before. It reports whether
	// the change was accepted.
	change(vm int, target, value string) bool
	// view lets an operator read the configuration at one entry VM.
	view(vm int)
	// settle lets each entry VM read the store and exchange with its peers.
	settle()
	// join adds an entry VM and reports whether it becomes ready.
	join() bool
	// value returns an entry VM's effective value of a target.
	value(vm int, target string) string
	// size returns the number of entry VMs.
	size() int
	// platform returns the store.
	platform() *cwstore.Store
}

// product is a System made of the product's own components.
type product struct {
	*Fleet
	// base has the revision that the operator at each entry VM saw.
	base map[int]carobward.Revision
}

// NewProduct returns a System over a fleet whose entry VMs have joined.
func NewProduct(f *Fleet) System { return &product{Fleet: f, base: map[int]carobward.Revision{}} }

func (p *product) platform() *cwstore.Store { return p.Store }

func (p *product) size() int { return len(p.Addresses) }

func (p *product) view(vm int) { p.base[vm] = p.At(vm).Holder.Revision() }

func (p *product) change(vm int, name, value string) bool {
	c := Put(value, fmt.Sprint("operator-", vm), int(p.base[vm]), name)
	_, err := p.At(vm).Apply(c, true)

	return err == nil
}

func (p *product) settle() {
	for i := range p.Addresses {
		p.At(i).Syncer.Poll(context.Background())
	}

	p.Gossip()
}

func (p *product) join() bool { return p.Add(p.Store).Syncer.Join(context.Background(), true) }

func (p *product) value(vm int, name string) string { return valueOf(p.At(vm).Holder.Config(), name) }

// valueOf returns the service of a target, or "" if there is none.
func valueOf(c *cwconfig.Config, name string) string {
	for i := range c.Set.Targets {
		if string(c.Set.Targets[i].Name) == name {
			return string(c.Set.Targets[i].Service)
		}
	}

	return ""
}
