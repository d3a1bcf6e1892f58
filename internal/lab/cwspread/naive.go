package cwspread

import (
	"context"
	"encoding/json"
	"maps"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/lab/cwstore"
)

// naiveKey is the key of the configuration of a naive fleet.
const naiveKey carobward.Key = "config"

// naive is a fleet in which each entry VM polls the store and applies whatever
// it reads. A change modifies the configuration that the operator saw and
// writes it at the store's newest index, so that the last writer wins.
type naive struct {
	store *cwstore.Store
	vms   []map[string]string
	seen  map[int]map[string]string
}

// NewNaive returns a naive system with a number of entry VMs.
func NewNaive(vms int) System {
	return &naive{store: cwstore.New(), vms: make([]map[string]string, vms), seen: map[int]map[string]string{}}
}

func (n *naive) platform() *cwstore.Store { return n.store }

func (n *naive) size() int { return len(n.vms) }

// read returns the content of the store and whether the store answers.
func (n *naive) read() (map[string]string, carobward.StoreIndex, bool) {
	e, err := n.store.Get(context.Background(), naiveKey)
	all := map[string]string{}
	_ = json.Unmarshal(e.Value, &all)

	return all, e.Index, err == nil
}

func (n *naive) view(vm int) {
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

	// The write replaces whatever the store has now.
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
