package cwmesh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAge verifies that a time is passed on as the same age, also one that is so long ago that its
// age does not fit into a message: it must not look recent.
func TestAge(t *testing.T) {
	now := time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

	for name, c := range map[string]struct{ age, want time.Duration }{
		"now":           {0, 0},
		"two seconds":   {2 * time.Second, 2 * time.Second},
		"in the future": {-time.Second, 0},
		"49 days":       {49 * 24 * time.Hour, 49 * 24 * time.Hour},
		"50 days":       {50 * 24 * time.Hour, maxAge},
		"a year":        {365 * 24 * time.Hour, maxAge},
	} {
		t.Run(name, func(t *testing.T) {
			got := now.Sub(decodeAge(encodeAge(now.Add(-c.age), now), now))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}

	if age := encodeAge(time.Time{}, now); age != 0 {
		t.Errorf("no time has the age %d", age)
	}
}
