package cwmesh

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwwire"
)

// Fleet returns the failure domains for the store: the own one and those that are
// alive.
func (t *Table) Fleet(now time.Time, state State) []Summary {
	return append(t.Domains(now), t.Summary(now, state, false, 0))
}

// EncodeFleet returns failure domains as they lie in the store.
func EncodeFleet(list []Summary) ([]byte, error) {
	f := &cwwire.Fleet{}

	for i := range list {
		d := wireSummary(&list[i], list[i].Made)
		// What changes often and helps no newcomer is left out.
		d.Rate, d.Away = 0, 0
		f.Domains = append(f.Domains, d)
	}

	raw, err := proto.Marshal(f)

	return raw, errors.Annotate(err, "mesh: fleet")
}

// DecodeFleet reads the failure domains from the store.
func DecodeFleet(raw []byte) ([]Summary, error) {
	f := &cwwire.Fleet{}
	if err := proto.Unmarshal(raw, f); err != nil {
		return nil, errors.Annotate(err, "mesh: fleet")
	}

	var list []Summary
	for _, d := range f.GetDomains() {
		list = append(list, summary(d, time.Time{}))
	}

	return list, nil
}

// Told takes failure domains that the store names. Their entry VMs get a
// heartbeat, and are alive once they answer. Their number counts for budgets from
// now on, before they are heard: without that each of many newcomers would spend
// as if it were alone.
func (t *Table) Told(list []Summary, now time.Time) {
	size, near := 0, 0

	for i := range list {
		size += list[i].Size

		if list[i].Domain == t.self.Domain {
			near = list[i].Size
		}

		for _, n := range list[i].Nodes {
			t.told(n)
		}
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	if size > t.size {
		t.size, t.sized = size, now
	}

	if near > t.near {
		t.near, t.nearAt = near, now
	}
}

// Lacks tells whether a list from the store is of little use to newcomers any
// more: a failure domain that is alive is not on it, none of those that it names
// there is known to live, or the fleet has grown by more than a quarter.
func Lacks(list, fleet []Summary) bool {
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

// sharesNode tells whether two summaries of a failure domain name one entry VM
// both.
func (s *Summary) sharesNode(o Summary) bool {
	return slices.ContainsFunc(s.Nodes, func(n Node) bool { return slices.Contains(o.Nodes, n) })
}
