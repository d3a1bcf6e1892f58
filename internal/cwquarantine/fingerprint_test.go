package cwquarantine_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// TestFingerprint checks which requests have the same fingerprint.
func TestFingerprint(t *testing.T) {
	call := func(change func(c *carobward.Call)) *carobward.Call {
		c := &carobward.Call{
			ID: "one", Method: "POST", Host: "club.example", URI: "/fees/17?x=1", Body: carobward.BodyOf([]byte("launch")),
			Header: carobward.Header{{Name: "Cookie", Value: "a"}, {Name: "Date", Value: "today"}},
		}
		change(c)

		return c
	}
	first := cwquarantine.FingerprintOf(call(func(*carobward.Call) {}), "10.0.0.1")

	for name, c := range map[string]struct {
		call *carobward.Call
		ip   string
		same bool
	}{
		"another attempt":       {call(func(c *carobward.Call) { c.ID = "two" }), "10.0.0.1", true},
		"another header field":  {call(func(c *carobward.Call) { c.Header[1].Value = "tomorrow" }), "10.0.0.1", true},
		"another method":        {call(func(c *carobward.Call) { c.Method = "PUT" }), "10.0.0.1", false},
		"another host":          {call(func(c *carobward.Call) { c.Host = "other.example" }), "10.0.0.1", false},
		"another query":         {call(func(c *carobward.Call) { c.URI = "/fees/17?x=2" }), "10.0.0.1", false},
		"another body":          {call(func(c *carobward.Call) { c.Body = carobward.BodyOf([]byte("landing")) }), "10.0.0.1", false},
		"body moved to the URI": {call(func(c *carobward.Call) { c.URI, c.Body = "/fees/17?x=1launch", nil }), "10.0.0.1", false},
		"another IP number":     {call(func(*carobward.Call) {}), "10.0.0.2", false},
		"another cookie":        {call(func(c *carobward.Call) { c.Header[0].Value = "b" }), "10.0.0.1", false},
	} {
		t.Run(name, func(t *testing.T) {
			got := cwquarantine.FingerprintOf(c.call, c.ip)
			if same := got == first; same != c.same {
				t.Errorf("got fingerprint %s, the first request has %s", got, first)
			}

			back, err := cwquarantine.ParseFingerprint(got.String())
			if diff := cmp.Diff(got, back); diff != "" || err != nil {
				t.Error(diff, err)
			}
		})
	}
}

// TestParseFingerprint checks that strings that are not fingerprints are refused.
func TestParseFingerprint(t *testing.T) {
	part := strings.Repeat("0", 16)

	for name, text := range map[string]string{
		"empty":         "",
		"two parts":     part + "-" + part,
		"four parts":    part + "-" + part + "-" + part + "-" + part,
		"too long":      part + "-" + part + "-" + part + "00",
		"no hex digits": part + "-" + part + "-" + strings.Repeat("x", 16),
	} {
		t.Run(name, func(t *testing.T) {
			if p, err := cwquarantine.ParseFingerprint(text); err == nil {
				t.Errorf("%q was parsed as %s", text, p)
			}
		})
	}
}
