package cwticket

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
)

var (
	start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	owner = Owner{VM: "ifrane-1", Incarnation: 1772352000000000000}
)

func newIssuer() *Issuer { return NewIssuer(owner, Secret{1, 2, 3}, 0, start) }

func TestParse(t *testing.T) {
	good := newIssuer().Prefix(start.Add(time.Second))

	for name, test := range map[string]struct {
		text string
		want error
	}{
		"valid":             {good + ".7", nil},
		"maximum number":    {good + ".18446744073709551615", nil},
		"number too large":  {good + ".18446744073709551616", ErrFormat},
		"no number":         {good, ErrFormat},
		"empty number":      {good + ".", ErrFormat},
		"leading zero":      {good + ".07", ErrFormat},
		"sign":              {good + ".+7", ErrFormat},
		"two numbers":       {good + ".7.7", ErrFormat},
		"empty":             {"", ErrFormat},
		"not base64":        {"?" + good + ".7", ErrFormat},
		"truncated":         {good[:20] + ".7", ErrFormat},
		"no VM":             {good[:55] + ".7", ErrFormat},
		"too long":          {strings.Repeat("A", 300) + ".7", ErrFormat},
		"another version":   {"Ag" + good[2:] + ".7", ErrVersion},
		"line break inside": {good[:10] + "\n" + good[10:] + ".7", ErrFormat},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(test.text)
			if !errors.Is(err, test.want) {
				t.Fatalf("got error %v, want %v", err, test.want)
			}

			if err == nil {
				if diff := cmp.Diff(test.text, got.String()); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestIssuerCheck(t *testing.T) {
	issuer := newIssuer()
	now := start.Add(time.Minute)
	good := issuer.Ticket(now)

	another := good
	another.Owner.Incarnation++

	otherVM := good
	otherVM.Owner.VM = "ifrane-2"

	younger := good
	younger.Key.Issued++

	numbered := good
	numbered.Key.Number = 9

	for name, test := range map[string]struct {
		ticket Ticket
		after  time.Duration
		want   error
	}{
		"its own":              {good, 0, nil},
		"another number":       {numbered, 0, nil},
		"just in time":         {good, time.Hour - time.Millisecond, nil},
		"at the horizon":       {good, time.Hour, ErrExpired},
		"another incarnation":  {another, 0, ErrForged},
		"another VM":           {otherVM, 0, ErrForged},
		"another time":         {younger, time.Second, ErrForged},
		"same, another secret": {NewIssuer(owner, Secret{9}, 0, start).Ticket(now), 0, ErrForged},
	} {
		t.Run(name, func(t *testing.T) {
			if err := issuer.check(test.ticket, now.Add(test.after), time.Hour); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestDigest(t *testing.T) {
	first := DigestOf(&carobward.Call{Method: "POST", Host: "10.0.0.1:80", URI: "/fees", Body: carobward.BodyOf([]byte("17"))})

	for name, test := range map[string]struct {
		call carobward.Call
		same bool
	}{
		"same call":                   {carobward.Call{Method: "POST", Host: "10.0.0.1:80", URI: "/fees", Body: carobward.BodyOf([]byte("17"))}, true},
		"another entry VM":            {carobward.Call{Method: "POST", Host: "10.0.0.2:80", URI: "/fees", Body: carobward.BodyOf([]byte("17"))}, true},
		"another method":              {carobward.Call{Method: "PUT", Host: "10.0.0.1:80", URI: "/fees", Body: carobward.BodyOf([]byte("17"))}, false},
		"another URI":                 {carobward.Call{Method: "POST", Host: "10.0.0.1:80", URI: "/fees?x", Body: carobward.BodyOf([]byte("17"))}, false},
		"another body":                {carobward.Call{Method: "POST", Host: "10.0.0.1:80", URI: "/fees", Body: carobward.BodyOf([]byte("18"))}, false},
		"byte moved from body to URI": {carobward.Call{Method: "POST", Host: "10.0.0.1:80", URI: "/fees1", Body: carobward.BodyOf([]byte("7"))}, false},
	} {
		if got := DigestOf(&test.call) == first; got != test.same {
			t.Errorf("%s: same digest: %v", name, got)
		}
	}
}

// FuzzParse looks for a text that makes the parser panic, for two texts of the
// same ticket, and for a forged ticket that is accepted.
func FuzzParse(f *testing.F) {
	good := newIssuer().Prefix(start.Add(time.Second))
	for _, seed := range []string{good + ".1", good, ".", good + ".01", "AQ.1", "Ag" + good[2:] + ".1", good + ".1.1", strings.Repeat("_", 276)} {
		f.Add(seed)
	}

	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(text)
		if err != nil {
			return
		}

		if got.String() != text {
			t.Errorf("%q was parsed as %q", text, got)
		}

		if err := newIssuer().check(got, start.Add(time.Minute), time.Hour); err == nil && !strings.HasPrefix(text, good) {
			t.Errorf("%q was accepted although it was never issued", text)
		}
	})
}
