package cwmesh

import (
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// TestClaimOfEra checks that a peer's claim makes this replica count as up to date only if both
// are of the same era. Peers that run an earlier version of the program send no era.
func TestClaimOfEra(t *testing.T) {
	for name, c := range map[string]struct {
		era, index uint64
		want       bool
	}{
		"the same state":    {2, 5, true},
		"an older one":      {2, 4, true},
		"a newer one":       {2, 6, false},
		"of an earlier era": {1, 9, false},
		"of a later era":    {3, 1, false},
		"without an era":    {0, 9, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 2*simDomains)
			s.run(simFormTime, nil)

			v, peer := s.vms[0], s.vms[simDomains]
			v.mesh.Mirror.Apply(carobward.Changes{Era: 2, Index: 5, Full: true}, s.now)

			from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(string(peer.node.Peers)))
			v.mesh.handleHeartbeat(&cwwire.Beat{Id: string(peer.node.ID), Era: c.era, Index: c.index, Top: c.index, Fresh: 1}, from)

			if got := v.mesh.Fresh().Equal(s.now); got != c.want {
				t.Errorf("fresh at %s, now is %s", v.mesh.Fresh(), s.now)
			}
		})
	}
}

// TestTakeAnswer checks what answers of the store do to a replica of era 2.
func TestTakeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer carobward.Changes
		want   cwmirror.State
		err    error
	}{
		"changes":                    {carobward.Changes{Era: 2, AfterEra: 2, After: 5, Index: 7}, cwmirror.State{Era: 2, Index: 7, Top: 7}, nil},
		"without an era":             {carobward.Changes{After: 5, Index: 7}, cwmirror.State{Era: 2, Index: 7, Top: 7}, nil},
		"of an earlier era":          {carobward.Changes{Era: 1, AfterEra: 1, After: 5, Index: 7}, cwmirror.State{Era: 2, Index: 5, Top: 5}, ErrEra},
		"changes of a later era":     {carobward.Changes{Era: 3, AfterEra: 3, After: 5, Index: 7}, cwmirror.State{Era: 2, Index: 5, Top: 5}, carobward.ErrHistoryGone},
		"all keys of a later era":    {carobward.Changes{Era: 3, Index: 4, Full: true}, cwmirror.State{Era: 3, Index: 4, Top: 4}, nil},
		"all keys of an earlier era": {carobward.Changes{Era: 1, Index: 9, Full: true}, cwmirror.State{Era: 2, Index: 5, Top: 5}, ErrEra},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, simDomains)
			s.run(simFormTime, nil)

			m := s.vms[0].mesh
			m.Mirror.Apply(carobward.Changes{Era: 2, Index: 5, Full: true}, s.now)

			_, err := m.TakeAnswer(c.answer, m.Clock.Now())
			if !errors.Is(err, c.err) || c.err == nil && err != nil {
				t.Errorf("got the error %v", err)
			}

			if diff := cmp.Diff(c.want, m.Mirror.State()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
