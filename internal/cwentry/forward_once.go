package cwentry

import (
	"context"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// forwardOnce sends a request that must run at most once. It retries at another
// server only if every attempt so far certainly did not run, and within the
// target's retry budget. It never hedges.
func (fw *Forwarder) forwardOnce(ctx context.Context, id carobward.RequestID, target *carobward.Target, call *carobward.Call) (*answer, error) {
	a, err := fw.enter(target, call)
	if err != nil {
		return nil, err
	}

	defer a.leave()

	budget := fw.records.Get(target.Name).Budget
	budget.Earn()

	for {
		reply, err := fw.attempt(ctx, id, a.server, a.serverCall, call)
		if err == nil {
			return &answer{reply, a.server.Address}, nil
		}

		last := fw.failure(err, carobward.NotRun)
		last.RetryAfter = fw.recoveryDelay(target)

		if last.Verdict != carobward.NotRun || len(a.tried) >= maxAttempts || !a.next() {
			return nil, last
		}

		if !budget.Take() {
			a.serverCall.End(fw.clock.Now(), cwserver.Cancelled)

			return nil, last
		}

		fw.metrics.Add("retries", 1)
	}
}
