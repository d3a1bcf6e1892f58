package cwfront

import (
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// TestSpeaksOfLimit has replies against whether they say if their server has a limit: each
// that names one, and of the others only good ones of the server itself. A failure that took
// a limit back would let all entry VMs loose on a server in need, at each of its failures.
func TestSpeaksOfLimit(t *testing.T) {
	named := carobward.Limit{Named: true, Readable: true, Rate: 1.4}

	for name, c := range map[string]struct {
		reply carobward.Reply
		want  bool
	}{
		"an answer":                     {carobward.Reply{Status: fasthttp.StatusOK}, true},
		"an answer that names one":      {carobward.Reply{Status: fasthttp.StatusOK, Limit: named}, true},
		"not found, by the server":      {carobward.Reply{Status: fasthttp.StatusNotFound}, true},
		"a refusal":                     {carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true}, false},
		"a refusal that names one":      {carobward.Reply{Status: fasthttp.StatusServiceUnavailable, Shed: true, Limit: named}, true},
		"a failure":                     {carobward.Reply{Status: fasthttp.StatusInternalServerError}, false},
		"a failure that names one":      {carobward.Reply{Status: fasthttp.StatusInternalServerError, Limit: named}, true},
		"its time limit":                {carobward.Reply{Status: fasthttp.StatusGatewayTimeout}, false},
		"another server at the address": {carobward.Reply{Status: fasthttp.StatusMisdirectedRequest, Shed: true, Limit: named}, false},
		"another instance":              {carobward.Reply{Status: fasthttp.StatusOK, Instance: "i-2", Limit: named}, false},
		"its own instance":              {carobward.Reply{Status: fasthttp.StatusOK, Instance: "i-1", Limit: named}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sent{backend: carobward.Backend{Instance: "i-1"}, reply: &c.reply}
			if got := s.speaksOfLimit(); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
}
