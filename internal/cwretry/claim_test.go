package cwretry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestClaimOf checks the claims of extra calls. If the caller can still retry after a
// refusal, the request may use a share of the bound at once and the rest evenly. If the
// caller has retried already, or the request failed otherwise, it may use the whole bound.
func TestClaimOf(t *testing.T) {
	for name, c := range map[string]struct {
		verdict  carobward.Verdict
		returned bool
		want     Claim
	}{
		"refused, for the first time": {carobward.NotRun, false, Refused},
		"refused, a retry":            {carobward.NotRun, true, Needed},
		"no answer":                   {carobward.Unknown, false, Needed},
		"a server's failure":          {carobward.Ran, false, Needed},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ClaimOf(c.verdict, c.returned)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTakePaced lets all servers refuse for most of a window. Paced claims use up the
// bound with some calls in each second. Other claims use their share in the first second
// and leave the rest.
func TestTakePaced(t *testing.T) {
	const (
		share   = 0.2
		seconds = 9
		each    = 20
	)

	for name, c := range map[string]struct {
		claim                 Claim
		least, most, inSecond int
	}{
		"paced":     {Refused, 34, 40, 3},
		"not paced": {Overdue, 10, 13, 0},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			w := NewWindow(share, 10*time.Second, start)

			for i := range seconds * each {
				w.Request(start.Add(time.Duration(i) * time.Second / each))
			}

			total, fewest := 0, each

			for second := range seconds {
				taken := 0

				for i := range each {
					now := start.Add(10*time.Second + time.Duration(second)*time.Second + time.Duration(i)*time.Second/each)
					w.Request(now)

					if w.Take(now, 0, c.claim) {
						taken++
					}
				}

				total += taken
				fewest = min(fewest, taken)
			}

			if total < c.least || total > c.most || fewest < c.inSecond {
				t.Errorf("%d extra calls, %d in the second with the fewest", total, fewest)
			}
		})
	}
}
