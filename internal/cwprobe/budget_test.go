package cwprobe_test

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/lab/cwspend"
)

// TestBudgetOverSockets has five entry VMs probe as much as they may. They
// see different fleets and so probe the same servers, and one of them pauses.
// The servers count.
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
	cwtest.Wait(t, "some probes", func() bool { return live.Count() > 20 })
	live.Pause(0)

	some := live.Count()
	cwtest.Wait(t, "more probes", func() bool { return live.Count() > some+40 })
	stop()
	group.Wait()

	if worst := live.Worst(); !worst.Within(budget) {
		t.Errorf("the servers counted %+v of %+v in a second", worst, budget)
	}

	if total := live.Total(); total.Calls < int64(live.Count()) {
		t.Errorf("the entry VMs counted %d calls, the servers %d", total.Calls, live.Count())
	}
}
