package cwmesh

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwwire"
)

// Fleet returns the summaries to write to the store: that of this failure domain and of
// the others that are alive.
func (t *Table) Fleet(now time.Time, state State) []Summary {
	return append(t.Domains(now), t.Summary(now, Peer{State: state}))
}

// EncodeFleet encodes summaries for the store.
func EncodeFleet(list []Summary) ([]byte, error) {
	f := &cwwire.Fleet{}

	for i := range list {
		d := encodeSummary(&list[i], list[i].Made)
		// These change often and are of no use to newcomers.
		d.Rate, d.Away, d.Loads, d.Lost, d.By, d.Nth = 0, 0, nil, nil, 0, 0
		f.Domains = append(f.Domains, d)
	}

	raw, err := proto.Marshal(f)

	return raw, errors.Annotate(err, "mesh: encode the fleet")
}

// DecodeFleet decodes summaries from the store.
func DecodeFleet(raw []byte) ([]Summary, error) {
	f := &cwwire.Fleet{}
	if err := proto.Unmarshal(raw, f); err != nil {
		return nil, errors.Annotate(err, "mesh: decode the fleet")
	}

	var list []Summary
	for _, d := range f.GetDomains() {
		list = append(list, decodeSummary(d, time.Time{}))
	}

	return list, nil
}

// AddListed adds the entry VMs that the store lists. They get a heartbeat, and count as
// alive once they answer. Budgets are divided by their number from now on, before they
// send a heartbeat: otherwise each of many new entry VMs would spend as if it were alone.
func (t *Table) AddListed(list []Summary, now time.Time) {
	size, near := 0, 0

	for i := range list {
		size += list[i].Size

		if list[i].Domain == t.self.Domain {
			near = list[i].Size
		}

		for _, n := range list[i].Nodes {
			t.addPeer(n)
		}
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if size > t.size {
		t.size, t.sizeAt = size, now
	}

	t.listedSize = near

	if near > t.domainSize {
		t.domainSize, t.domainSizeAt = near, now
	}
}

// IsOutdated reports whether the store's list of the fleet is of little use to newcomers: it
// misses a live failure domain, it shares no entry VM with the current summary of one, or the
// fleet has grown by more than a quarter since.
func IsOutdated(list, fleet []Summary) bool {
	const grown = 1.25

	was, is := 0, 0
	for i := range list {
		was += list[i].Size
	}

	for i := range fleet {
		is += fleet[i].Size

		if len(fleet[i].Nodes) > 0 && !slices.ContainsFunc(list, fleet[i].sharesNode) {
			return true
		}
	}

	return float64(is) > grown*float64(was)
}

// sharesNode reports whether two summaries of a failure domain have an entry VM in
// common.
func (s *Summary) sharesNode(o Summary) bool {
	return slices.ContainsFunc(s.Nodes, func(n Node) bool { return slices.Contains(o.Nodes, n) })
}

// FleetSize returns the number of entry VMs among which a limit is divided that holds for all of
// them together.
func (m *Mesh) FleetSize(now time.Time) int {
	_, all := m.Table.fleetSize(m.Domains, now)

	return max(all, m.Table.Size(now))
}
