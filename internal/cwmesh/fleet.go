package cwmesh

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwwire"
)

// EncodeFleet returns the list of entry VMs for the store: this one and those
// that were heard lately.
func (t *Table) EncodeFleet(now time.Time) ([]byte, error) {
	f := &cwwire.Fleet{Nodes: []*cwwire.Node{wireNode(t.self)}}

	for _, p := range t.Live(now) {
		f.Nodes = append(f.Nodes, wireNode(p.Node))
	}

	raw, err := proto.Marshal(f)

	return raw, errors.Annotate(err, "mesh: fleet")
}

// DecodeFleet reads a list of entry VMs from the store.
func DecodeFleet(raw []byte) ([]Node, error) {
	f := &cwwire.Fleet{}
	if err := proto.Unmarshal(raw, f); err != nil {
		return nil, errors.Annotate(err, "mesh: fleet")
	}

	var list []Node
	for _, n := range f.GetNodes() {
		list = append(list, node(n))
	}

	return list, nil
}

// Told takes entry VMs that the store names. They get a heartbeat, and are alive
// once they answer.
func (t *Table) Told(list []Node) {
	for _, n := range list {
		t.told(n)
	}
}

// Lacks tells whether an entry VM that was heard lately, or this one, is not on
// a list.
func (t *Table) Lacks(list []Node, now time.Time) bool {
	on := make(map[Node]bool, len(list))
	for _, n := range list {
		on[n] = true
	}

	if !on[t.self] {
		return true
	}

	for _, p := range t.Live(now) {
		if p.State != Leaving && !on[p.Node] {
			return true
		}
	}

	return false
}
