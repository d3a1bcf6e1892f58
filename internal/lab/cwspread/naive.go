package cwspread

import (
	"context"
	"encoding/json"
	"maps"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwstore"
)

// naiveKey is where a naive fleet keeps its configuration.
const naiveKey carobward.Key = "config"

// naive is a fleet in which each entry VM polls the store and takes what it
// reads, and a change is read, changed and written until a reply says so; the
// last writer wins.
type naive struct {
	store *cwstore.Store
	vms   []map[string]string
	seen  map[int]map[string]string
}

// NewNaive returns the naive system with so many entry VMs.
func NewNaive(vms int) System {
	return &naive{store: cwstore.New(), vms: make([]map[string]string, vms), seen: map[int]map[string]string{}}
}

func (n *naive) platform() *cwstore.Store { return n.store }

func (n *naive) size() int { return len(n.vms) }

// read returns what the store has and whether it answers.
func (n *naive) read() (map[string]string, carobward.StoreIndex, bool) {
	e, err := n.store.Get(context.Background(), naiveKey)
	all := map[string]string{}
	_ = json.Unmarshal(e.Value, &all)

	return all, e.Index, err == nil
}

func (n *naive) look(vm int) {
	n.seen[vm] = map[string]string{}
	maps.Copy(n.seen[vm], n.vms[vm])
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

	return ok && n.store.Swap(context.Background(), naiveKey, raw, index) == nil
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
