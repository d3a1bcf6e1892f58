package cwconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// system is a fleet in whose stead a naive one can stand.
type system interface {
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
	// platform returns the store.
	platform() *cwtest.Store
}

// ours is the system under test.
type ours struct {
	*fleet
	base map[int]carobward.Revision
}

func (o *ours) platform() *cwtest.Store { return o.store }
func (o *ours) look(vm int)             { o.base[vm] = o.at(vm).holder.Revision() }

func (o *ours) change(vm int, name, value string) bool {
	c := put(value, fmt.Sprint("operator-", vm), int(o.base[vm]), name)
	_, err := o.at(vm).apply(c, true)

	return err == nil
}

func (o *ours) settle() {
	for i := range o.order {
		o.at(i).syncer.Poll(context.Background())
	}

	o.gossip()
}

func (o *ours) join() bool { return o.add(o.store).syncer.Join(context.Background(), true) }

func (o *ours) value(vm int, name string) string { return valueOf(o.at(vm).holder.Config(), name) }

func valueOf(c *Config, name string) string {
	for _, t := range c.Set.Targets {
		if string(t.Name) == name {
			return string(t.Service)
		}
	}

	return ""
}

// naive is a fleet in which each entry VM polls the store and takes what it
// reads, and a change is read, changed and written until a reply says so; the
// last writer wins.
type naive struct {
	store *cwtest.Store
	vms   []map[string]string
	seen  map[int]map[string]string
}

func (n *naive) platform() *cwtest.Store { return n.store }

func (n *naive) read() (map[string]string, carobward.StoreIndex, bool) {
	e, err := n.store.Get(context.Background(), "config")
	all := map[string]string{}
	_ = json.Unmarshal(e.Value, &all)

	return all, e.Index, err == nil
}

func (n *naive) look(vm int) {
	n.seen[vm] = map[string]string{}
	for k, v := range n.vms[vm] {
		n.seen[vm][k] = v
	}
}

func (n *naive) change(vm int, name, value string) bool {
	all := n.seen[vm]
	if all == nil {
		all = map[string]string{}
	}

	all[name] = value
	raw, _ := json.Marshal(all)

	// A store that answers at all is taken to have written: last write wins.
	_, index, ok := n.read()

	return ok && n.store.Swap(context.Background(), "config", raw, index) == nil
}

func (n *naive) settle() {
	for i := range n.vms {
		if all, _, ok := n.read(); ok {
			n.vms[i] = all
		}
	}
}

func (n *naive) join() bool {
	all, _, _ := n.read()
	n.vms = append(n.vms, all)

	return true
}

func (n *naive) value(vm int, name string) string { return n.vms[vm][name] }

// TestAgainstNaive takes both systems through the same faults. A scenario
// returns the values that some entry VM should have and has not.
func TestAgainstNaive(t *testing.T) {
	for name, scenario := range map[string]func(s system) string{
		"an older store comes back": func(s system) string {
			s.change(0, "fee", "one")
			s.settle()

			saved := s.platform().Save()

			s.look(1)
			s.change(1, "fee", "two")
			s.settle()
			s.platform().Restore(saved)
			s.settle()

			return wanted(s, "fee", "two")
		},
		"an empty store comes back": func(s system) string {
			saved := s.platform().Save()

			s.change(0, "fee", "one")
			s.settle()
			s.platform().Restore(saved)
			s.settle()

			return wanted(s, "fee", "one")
		},
		"two operators on one target": func(s system) string {
			s.look(0)
			s.look(1)

			first, second := s.change(0, "fee", "one"), s.change(1, "fee", "two")
			s.settle()

			if first && second {
				return "both were told that theirs is accepted"
			}

			return wanted(s, "fee", "one")
		},
		"two operators on two targets": func(s system) string {
			s.look(0)
			s.look(1)
			s.change(0, "fee", "one")
			s.change(1, "gate", "two")
			s.settle()

			return wanted(s, "fee", "one") + wanted(s, "gate", "two")
		},
		"a lost reply, made again after another's change": func(s system) string {
			s.look(0)

			s.platform().Fault = script("l", ".")
			s.change(0, "fee", "one")
			s.platform().Fault = nil

			s.settle()
			s.look(1)
			s.change(1, "fee", "two")
			s.change(0, "fee", "one")
			s.settle()

			return wanted(s, "fee", "two")
		},
		"an outage right after acceptance": func(s system) string {
			s.change(0, "fee", "one")

			s.platform().Fault = script("d", "d")
			s.settle()

			return wanted(s, "fee", "one")
		},
		"a newcomer in an outage": func(s system) string {
			s.change(0, "fee", "one")
			s.settle()

			s.platform().Fault = script("d", "d")
			if !s.join() {
				return "the newcomer refuses although its peers know"
			}

			return wanted(s, "fee", "one")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			f.ready(t)

			if wrong := scenario(&ours{fleet: f, base: map[int]carobward.Revision{}}); wrong != "" {
				t.Errorf("ours: %s", wrong)
			}

			n := &naive{store: cwtest.NewStore(), vms: make([]map[string]string, 3), seen: map[int]map[string]string{}}
			if wrong := scenario(n); wrong == "" {
				t.Error("the naive one holds, so the scenario proves nothing")
			}
		})
	}
}

// wanted tells which entry VMs lack a value.
func wanted(s system, name, value string) string {
	n := 3
	if o, ok := s.(*ours); ok {
		n = len(o.order)
	} else if v, ok := s.(*naive); ok {
		n = len(v.vms)
	}

	want, got := []string{}, []string{}

	for i := range n {
		want, got = append(want, value), append(got, s.value(i, name))
	}

	return cmp.Diff(want, got)
}
