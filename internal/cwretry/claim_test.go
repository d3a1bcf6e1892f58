package cwretry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestClaimOf has what requests use of the bound on extra calls: a caller that can
// come back after a refusal a part at once and the rest evenly, one that has come
// back the whole, and so does a request that failed otherwise.
func TestClaimOf(t *testing.T) {
	for name, c := range map[string]struct {
		verdict  carobward.Verdict
		returned bool
		want     Claim
	}{
		"refused, for the first time": {carobward.NotRun, false, Refused},
		"refused, come back":          {carobward.NotRun, true, Needed},
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

// TestTakePaced lets all servers refuse for most of a span. Claims that are paced use
// the bound up, and each second of it has its part; those that are not use their part
// in the first second and leave the rest.
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
				t.Errorf("%d extra calls, %d in the second that has fewest", total, fewest)
			}
		})
	}
}
