package cwmesh

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward/internal/cwreserve"
	"carobward.example/carobward/internal/cwwire"
)

// TestTokenRequestOnWire verifies that an owner gets what was asked.
func TestTokenRequestOnWire(t *testing.T) {
	for name, c := range map[string]struct{ ask, want cwreserve.Ask }{
		"plain":         {cwreserve.Ask{Want: 3}, cwreserve.Ask{Want: 3}},
		"late, again":   {cwreserve.Ask{Want: 1, Class: 5, Again: true}, cwreserve.Ask{Want: 1, Class: 5, Again: true}},
		"relayed":       {cwreserve.Ask{Want: 1, Class: 2, Relayed: true}, cwreserve.Ask{Want: 1, Class: 2, Relayed: true}},
		"unknown class": {cwreserve.Ask{Want: 1, Class: 200}, cwreserve.Ask{Want: 1, Class: cwreserve.Classes - 1}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := proto.Marshal(encodeAsk("club", &c.ask))
			if err != nil {
				t.Fatal(err)
			}

			got := &cwwire.Tokens{}
			if err := proto.Unmarshal(raw, got); err != nil {
				t.Fatal(err)
			}

			if diff := cmp.Diff(&c.want, decodeAsk(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
