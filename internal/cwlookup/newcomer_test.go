package cwlookup

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestNewcomerIsLeftOut: an entry VM without a configuration is in no answer
// while another one has one.
func TestNewcomerIsLeftOut(t *testing.T) {
	for name, test := range map[string]struct {
		revisions []carobward.Revision
		want      []carobward.VMID
	}{
		"one is new":   {[]carobward.Revision{3, 0}, []carobward.VMID{"a"}},
		"one lags":     {[]carobward.Revision{3, 2}, []carobward.VMID{"a", "b"}},
		"all are new":  {[]carobward.Revision{0, 0}, []carobward.VMID{"a", "b"}},
		"new one asks": {[]carobward.Revision{0, 1}, []carobward.VMID{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var peers []carobward.Peer
			for i, r := range test.revisions {
				peers = append(peers, carobward.Peer{ID: []carobward.VMID{"a", "b"}[i], Domain: []carobward.Domain{"near", "far"}[i], Revision: r})
			}

			var got []carobward.VMID
			for _, l := range Choose(peers, "caller", "near") {
				got = append(got, l.VM)
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
