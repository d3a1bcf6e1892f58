package cwquota

import (
	"testing"
	"time"

	"carobward.example/carobward/internal/cwreserve"
)

// TestRetryDelay verifies the retry delays of refused callers.
func TestRetryDelay(t *testing.T) {
	const ms = time.Millisecond

	timely := Request{Class: 1, TimelyFor: 300 * ms, UsefulFor: 2000 * ms}
	late := Request{Class: cwreserve.ClassOf(1, false), UsefulFor: 1500 * ms}

	for name, c := range map[string]struct {
		request Request
		wait    time.Duration
		want    time.Duration
	}{
		"a token soon":                     {timely, 20 * ms, minRetryDelay},
		"a token in time":                  {timely, 200 * ms, 200 * ms},
		"a token too late":                 {timely, 290 * ms, 2000 * ms},
		"no token":                         {timely, cwreserve.NoToken, 2000 * ms},
		"hardly any time":                  {Request{TimelyFor: 80 * ms, UsefulFor: 1000 * ms}, 20 * ms, 80*ms - retryTime},
		"late, a token":                    {late, 900 * ms, 900 * ms},
		"late, no token":                   {late, cwreserve.NoToken, 1500 * ms},
		"unknown, a token":                 {Request{}, 400 * ms, 400 * ms},
		"unknown, no token":                {Request{}, cwreserve.NoToken, maxUnknownDelay},
		"useless, at least the minimum":    {Request{Class: late.Class, UsefulFor: 10 * ms}, 0, minRetryDelay},
		"useless, not beyond what is told": {Request{Class: late.Class, UsefulFor: 10 * ms}, time.Hour, maxUnknownDelay},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.request.retryDelay(c.wait); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
