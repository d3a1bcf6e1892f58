package cwprobe_test

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/lab/cwspend"
)

// TestBudgetOverSockets verifies, by counts at the servers, that five entry VMs
// stay within the budget although they probe as much as they may. They see
// different fleets, so several of them probe the same servers, and one pauses.
func TestBudgetOverSockets(t *testing.T) {
	budget := cwbudget.Cost{Calls: 30, Bytes: 24 << 10}

	live, err := cwspend.NewLive(budget, 5, 20)
	if err != nil {
		t.Fatal(err)
	}

	defer live.Close()

	var group conc.WaitGroup

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	group.Go(func() { live.Run(ctx) })
	cwtest.Wait(t, "the first probes", func() bool { return live.Count() > 20 })
	live.Pause(0)

	before := live.Count()
	cwtest.Wait(t, "probes after the pause", func() bool { return live.Count() > before+40 })
	stop()
	group.Wait()

	if worst := live.Worst(); !worst.Within(budget) {
		t.Errorf("the servers counted %+v in a second, more than the budget of %+v", worst, budget)
	}

	if total := live.Total(); total.Calls < int64(live.Count()) {
		t.Errorf("the entry VMs counted %d calls, fewer than the %d of the servers", total.Calls, live.Count())
	}
}
