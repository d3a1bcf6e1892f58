package cwlookup_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
)

func TestChoose(t *testing.T) {
	peer := func(id carobward.VMID, d carobward.Domain, s carobward.PeerState) carobward.Peer {
		return carobward.Peer{ID: id, Domain: d, State: s}
	}

	atRevision := func(id carobward.VMID, d carobward.Domain, r carobward.Revision) carobward.Peer {
		return carobward.Peer{ID: id, Domain: d, Revision: r}
	}

	const live, suspect, leaving, dead = carobward.PeerLive, carobward.PeerSuspect, carobward.PeerLeaving, carobward.PeerDead

	for name, tt := range map[string]struct {
		peers []carobward.Peer
		want  []carobward.VMID
	}{
		"own domain first":        {[]carobward.Peer{peer("b", "y", live), peer("a", "x", live)}, []carobward.VMID{"a", "b"}},
		"suspect last":            {[]carobward.Peer{peer("a", "x", suspect), peer("b", "y", live)}, []carobward.VMID{"b", "a"}},
		"only suspects":           {[]carobward.Peer{peer("a", "x", suspect)}, []carobward.VMID{"a"}},
		"no leaving or dead ones": {[]carobward.Peer{peer("a", "x", leaving), peer("b", "x", dead), peer("c", "y", live)}, []carobward.VMID{"c"}},
		"none left":               {[]carobward.Peer{peer("a", "x", leaving)}, nil},

		// An entry VM without a configuration is in no reply while another has
		// one.
		"other has no configuration":      {[]carobward.Peer{atRevision("a", "x", 3), atRevision("b", "y", 0)}, []carobward.VMID{"a"}},
		"one lags":                        {[]carobward.Peer{atRevision("a", "x", 3), atRevision("b", "y", 2)}, []carobward.VMID{"a", "b"}},
		"none has a configuration":        {[]carobward.Peer{atRevision("a", "x", 0), atRevision("b", "y", 0)}, []carobward.VMID{"a", "b"}},
		"own domain has no configuration": {[]carobward.Peer{atRevision("a", "x", 0), atRevision("b", "y", 1)}, []carobward.VMID{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []carobward.VMID
			for _, l := range cwlookup.Choose(tt.peers, "caller", "x") {
				got = append(got, l.VM)
			}

			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestKeepTime(t *testing.T) {
	for name, tt := range map[string]struct{ keep, want time.Duration }{
		"under a second":  {200 * time.Millisecond, time.Second},
		"whole seconds":   {5 * time.Second, 5 * time.Second},
		"with a fraction": {5900 * time.Millisecond, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := cwlookup.KeepTime(tt.keep); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
