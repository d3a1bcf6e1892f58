package cwspend

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwprobe"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/lab/cwcounter"
)

// Live is a fleet of entry VMs that probe servers over sockets as often as they
// may. Each considers itself the only prober, so that all of them probe all
// servers.
type Live struct {
	*cwcounter.Counter

	budget cwbudget.Cost
	vms    []*liveVM
}

// liveVM is the part of an entry VM that sends health probes.
type liveVM struct {
	prober  *cwprobe.Prober
	account *cwbudget.Account
	paused  atomic.Bool
}

// NewLive starts the servers. Close stops them.
func NewLive(budget cwbudget.Cost, vms, servers int) (*Live, error) {
	const ok = 200

	l := &Live{Counter: cwcounter.New(ok, nil), budget: budget}
	list := make([]carobward.VM, servers)

	for i := range list {
		a, err := l.Listen()
		if err != nil {
			l.Close()

			return nil, err
		}

		list[i] = carobward.VM{Address: a, Service: "records"}
	}

	for i := range vms {
		l.vms = append(l.vms, newLiveVM(carobward.VMID(fmt.Sprint("vm-", i)), list))
	}

	return l, nil
}

func newLiveVM(self carobward.VMID, servers []carobward.VM) *liveVM {
	const timeout = 500 * time.Millisecond

	v := &liveVM{account: cwbudget.New()}
	table := cwserver.NewTable()
	clock, log := carobward.SystemClock{}, logr.Discard()

	table.Update(servers)
	v.prober = cwprobe.New(cwprobe.Options{
		Self: self, VMs: func() []carobward.VMID { return []carobward.VMID{self} },
		Servers: table, Account: v.account, Path: "/healthz", MaxReportAge: 1, Timeout: timeout, Clock: clock, Log: log,
		News: cwdrain.New(cwdrain.Options{Table: cwdrain.NewTable(), Servers: table, Clock: clock, Log: log}),
	})

	return v
}

// Run lets the entry VMs probe until ctx ends. The fleet sizes that they see
// are up to one too small or too large.
func (l *Live) Run(ctx context.Context) {
	var group conc.WaitGroup

	for i, v := range l.vms {
		size := max(1, len(l.vms)-1+i%3)

		group.Go(func() { v.prober.Run(ctx) })
		group.Go(func() { v.tick(ctx, l.budget, size, i) })
	}

	group.Wait()
}

func (v *liveVM) tick(ctx context.Context, budget cwbudget.Cost, size, rank int) {
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()

	for ctx.Err() == nil {
		if now := time.Now(); !v.paused.Load() {
			v.account.Tick(now, cwbudget.View{Budget: budget, Size: size, Rank: rank, At: now})
		}

		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Pause stops the ticks of one entry VM's account.
func (l *Live) Pause(i int) { l.vms[i].paused.Store(true) }

// Total returns the cost that the entry VMs themselves have counted.
func (l *Live) Total() cwbudget.Cost {
	var total cwbudget.Cost
	for _, v := range l.vms {
		total = total.Plus(v.account.Total())
	}

	return total
}
