package cwsuspend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPassed checks the reported suspensions for given readings of both clocks.
func TestPassed(t *testing.T) {
	const second = time.Second

	for name, c := range map[string]struct {
		boot, steady []time.Duration
		want         []time.Duration
	}{
		"none":                {[]time.Duration{5 * second, 6 * second, 7 * second}, []time.Duration{second, 2 * second, 3 * second}, []time.Duration{0, 0}},
		"one":                 {[]time.Duration{5 * second, 9 * second, 10 * second}, []time.Duration{second, 2 * second, 3 * second}, []time.Duration{3 * second, 0}},
		"two":                 {[]time.Duration{0, 4 * second, 9 * second}, []time.Duration{0, second, 2 * second}, []time.Duration{3 * second, 4 * second}},
		"late reading":        {[]time.Duration{0, second + 50*time.Millisecond, 2 * second}, []time.Duration{0, second, 2 * second}, []time.Duration{0, 0}},
		"small ones add up":   {[]time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond}, []time.Duration{0, 0, 0}, []time.Duration{0, 300 * time.Millisecond}},
		"delay between reads": {[]time.Duration{0, second, second}, []time.Duration{0, second + 100*time.Millisecond, second}, []time.Duration{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			next := func(list []time.Duration) func() time.Duration {
				return func() time.Duration {
					one := list[0]
					list = list[1:]

					return one
				}
			}

			m := newMeter(next(c.boot), next(c.steady))

			var got []time.Duration
			for range c.want {
				got = append(got, m.Passed())
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestClocks verifies that the machine has both clocks.
func TestClocks(t *testing.T) {
	m := New()
	if m.bootTime() == 0 || m.monotonic() == 0 {
		t.Error("a clock can't be read")
	}
}
