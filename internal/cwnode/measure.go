package cwnode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwprobe"
)

// measure has the components for load reports and health probes of servers, and
// the VM list that helps to determine this VM's share of their budget.
type measure struct {
	account *cwbudget.Account
	reports *cwbudget.Reports
	prober  *cwprobe.Prober
	// listed has the entry VMs of the last VM list.
	listed atomic.Pointer[listedVMs]
}

type listedVMs struct {
	ids []carobward.VMID
	at  time.Time
}

func (n *Node) openMeasure(log logr.Logger) {
	p := &n.settings.Probe
	m := &n.measure

	m.account = cwbudget.New()
	m.reports = cwbudget.NewReports(m.account, n.clock)
	m.listed.Store(&listedVMs{})
	m.prober = cwprobe.New(cwprobe.Options{
		Self:         n.settings.VM,
		VMs:          n.knownVMs,
		Servers:      n.servers,
		News:         n.announcements,
		Account:      m.account,
		Path:         p.Path,
		MaxReportAge: p.Fresh.Std(),
		Timeout:      p.Timeout.Std(),
		Clock:        n.clock,
		Log:          log,
	})

	n.publishMeasure()
}

// publishMeasure registers metrics of the calls and bytes spent since the start.
func (n *Node) publishMeasure() {
	const part = "measuring"

	m := &n.measure
	n.metrics.Gauge(part, "calls", func() int64 { return m.account.Total().Calls })
	n.metrics.Gauge(part, "bytes", func() int64 { return m.account.Total().Bytes })
	n.metrics.Gauge(part, "unasked", m.reports.Unasked)
	n.metrics.Gauge(part, "newscalls", func() int64 {
		calls, _ := n.announcements.Traffic()

		return calls
	})
	n.metrics.Gauge(part, "newsbytes", func() int64 {
		_, bytes := n.announcements.Traffic()

		return bytes
	})
}

// listVMs stores the entry VMs of a VM list.
func (m *measure) listVMs(now time.Time, list []carobward.VM) {
	l := &listedVMs{at: now}

	for _, v := range list {
		if v.Service == carobward.EntryService {
			l.ids = append(l.ids, v.ID)
		}
	}

	m.listed.Store(l)
}

// knownVMs returns the sorted ids of all entry VMs in the VM list or the
// membership, including this one.
func (n *Node) knownVMs() []carobward.VMID {
	ids := append([]carobward.VMID{n.settings.VM}, n.measure.listed.Load().ids...)

	for _, p := range n.peers.All() {
		if p.State != carobward.PeerDead {
			ids = append(ids, p.ID)
		}
	}

	slices.Sort(ids)

	return slices.Compact(ids)
}

// tickAccount regularly updates the account's view of the fleet until ctx is
// done. It runs in its own goroutine so that nothing delays it: after a gap between
// two updates the account permits no spending for a while.
func (n *Node) tickAccount(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for ctx.Err() == nil {
		n.updateAccount(n.clock.Now())

		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (n *Node) updateAccount(now time.Time) {
	m := &n.measure
	ids := n.knownVMs()
	rank, _ := slices.BinarySearch(ids, n.settings.VM)

	m.account.Tick(now, cwbudget.View{Budget: n.budget(), Size: len(ids), Rank: rank, At: n.lastSeen()})
	m.reports.Tick(now, len(n.servers.All()))
}

// lastSeen returns when the VM list was last read or a peer last replied.
func (n *Node) lastSeen() time.Time {
	last := n.measure.listed.Load().at

	for _, p := range n.peers.All() {
		if p.ID != n.settings.VM && p.LastSeen.After(last) {
			last = p.LastSeen
		}
	}

	return last
}

// budget returns the budget that operators set for all entry VMs together.
func (n *Node) budget() cwbudget.Cost {
	set := n.holder.Config().Set.Measure
	if set == nil {
		return cwbudget.DefaultBudget()
	}

	return cwbudget.Cost{Calls: int64(set.Calls), Bytes: int64(set.Bytes)}
}
