package cwrelay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestRequest verifies that a request arrives as it was sent, and that malformed ones are
// refused.
func TestRequest(t *testing.T) {
	for name, want := range map[string]Request{
		"a request": {
			VM: "vm-1", Version: 7, Service: "records", ID: "id-1", IP: "10.0.0.1", Team: "club", Priority: 3, Left: 1500 * time.Millisecond, Wait: 1800 * time.Millisecond, Due: 600 * time.Millisecond,
			Sends: 1, PossiblyRun: true, Returned: true, Admitted: true,
		},
		"late already":      {VM: "vm-1", Service: "records", ID: "id-1", Due: -40 * time.Millisecond},
		"an id of any byte": {VM: "vm-1", Service: "records", ID: "\xff\x00"},
		"a check":           {VM: "vm-1", Service: "records", Check: true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := DecodeRequest(want.Encode())
			if err != nil {
				t.Fatal(err)
			}

			if diff := cmp.Diff(&want, got); diff != "" {
				t.Error(diff)
			}
		})
	}

	without := Request{VM: "vm-1", Service: "records"}

	for name, text := range map[string]string{
		"empty": "", "no base64": "%", "no message": "AAAA", "no id": without.Encode(), "no service": (&Request{VM: "vm-1", ID: "id-1"}).Encode(),
		"no sender": (&Request{Service: "records", ID: "id-1"}).Encode(),
	} {
		if got, err := DecodeRequest(text); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestResult verifies that a result arrives as it was sent, and that an unknown verdict claims
// nothing.
func TestResult(t *testing.T) {
	for name, want := range map[string]Result{
		"a reply":   {ID: "id-1", Verdict: carobward.Ran, Server: "i-1", Sends: 2},
		"a refusal": {ID: "id-1", Verdict: carobward.NotRun, Cause: "no room", RetryAfter: 300 * time.Millisecond},
		"unknown":   {ID: "id-1", Cause: "the time was over", Server: "i-1", Sends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := DecodeResult(want.Encode())
			if err != nil {
				t.Fatal(err)
			}

			if diff := cmp.Diff(&want, got); diff != "" {
				t.Error(diff)
			}
		})
	}

	odd := Result{ID: "id-1", Verdict: 9}
	if got, err := DecodeResult(odd.Encode()); err != nil || got.Verdict != carobward.Unknown {
		t.Errorf("%+v, %v", got, err)
	}
}

// FuzzDecode verifies that no header field of a peer makes the decoders panic or return times
// out of bounds.
func FuzzDecode(f *testing.F) {
	f.Add((&Request{VM: "vm-1", Service: "records", ID: "id-1"}).Encode())
	f.Add((&Result{ID: "id-1", Verdict: carobward.Ran}).Encode())
	f.Fuzz(func(t *testing.T, text string) {
		if r, err := DecodeRequest(text); err == nil && (r.Left < 0 || r.Left > time.Hour || r.Due > time.Hour || r.Due < -time.Hour) {
			t.Errorf("%+v", r)
		}

		if r, err := DecodeResult(text); err == nil && (r.RetryAfter < 0 || r.RetryAfter > time.Hour || r.Verdict > carobward.Ran) {
			t.Errorf("%+v", r)
		}
	})
}
