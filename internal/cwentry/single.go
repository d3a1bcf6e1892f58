package cwentry

import (
	"context"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// single sends a request that must not repeat: to the next server only while
// each attempt has been proved not run, within the target's budget. It is
// never hedged.
func (c *Carrier) single(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	v, err := c.enter(target, call)
	if err != nil {
		return nil, err
	}

	defer v.leave()

	budget := c.records.Get(target.Name).Budget
	budget.Earn()

	for {
		reply, err := c.attempt(ctx, id, v.server, v.noted, call)
		if err == nil {
			return &answer{reply, v.server.Address}, nil
		}

		last := c.failure(err, carobward.NotRun)
		last.RetryAfter = c.recovery(target)

		if last.Verdict != carobward.NotRun || len(v.tried) >= triesMost || !v.next() {
			return nil, last
		}

		if !budget.Take() {
			v.noted.End(c.clock.Now(), cwserver.Cancelled)

			return nil, last
		}

		c.metrics.Add("retries", 1)
	}
}
