package cwprobe

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwnews"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtest"
)

// counter counts at the servers what measuring costs and when.
type counter struct {
	mutex sync.Mutex
	at    []time.Time
	bytes []int64
	state atomic.Int64
	// report is what each answer says.
	report atomic.Pointer[string]
}

// listen starts a server that counts, and returns its address.
func (c *counter) listen(t testing.TB) carobward.Address { return cwtest.ServeHTTP(t, c.handle) }

func (c *counter) handle(ctx *fasthttp.RequestCtx) {
	if status := c.state.Load(); status != 0 {
		ctx.SetStatusCode(int(status))
	}

	if r := c.report.Load(); r != nil {
		ctx.Response.Header.Set(carobward.HeaderReport, *r)
	}

	ctx.SetBodyString("ok")

	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.at = append(c.at, time.Now())
	c.bytes = append(c.bytes, int64(len(ctx.Request.Header.Header())+len(ctx.Response.Header.Header())+len(ctx.Response.Body())))
}

// worst returns the most within any second.
func (c *counter) worst() cwbudget.Cost {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	var worst, sum cwbudget.Cost

	first := 0

	for i, at := range c.at {
		sum.Calls++
		sum.Bytes += c.bytes[i]

		for at.Sub(c.at[first]) >= time.Second {
			sum.Calls--
			sum.Bytes -= c.bytes[first]
			first++
		}

		worst = cwbudget.Cost{Calls: max(worst.Calls, sum.Calls), Bytes: max(worst.Bytes, sum.Bytes)}
	}

	return worst
}

func (c *counter) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return len(c.at)
}

// entryVM is what of an entry VM probes.
type entryVM struct {
	prober  *Prober
	account *cwbudget.Account
	news    *cwnews.System
	table   *cwserver.Table
	paused  atomic.Bool
}

func newVM(self carobward.VMID, vms []carobward.VMID, servers []carobward.VM) *entryVM {
	v := &entryVM{account: cwbudget.New(), table: cwserver.NewTable()}
	v.news = cwnews.New(cwnews.Options{Table: cwnews.NewTable(), Servers: v.table, Clock: carobward.SystemClock{}, Log: logr.Discard()})
	v.table.Update(servers)
	v.prober = New(Options{
		Self: self, VMs: func() []carobward.VMID { return vms }, Servers: v.table, News: v.news, Account: v.account,
		Path: "/healthz", Fresh: 1, Timeout: 500 * time.Millisecond, Clock: carobward.SystemClock{}, Log: logr.Discard(),
	})

	return v
}

// run probes and ticks, but for pauses, until ctx ends.
func (v *entryVM) run(ctx context.Context, budget cwbudget.Cost, size, rank int) {
	var group conc.WaitGroup

	group.Go(func() { v.prober.Run(ctx) })

	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()

	for ctx.Err() == nil {
		if now := time.Now(); !v.paused.Load() {
			v.account.Tick(now, cwbudget.View{Budget: budget, Size: size, Rank: rank, At: now})
		}

		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}

	group.Wait()
}

// TestBudgetOverSockets has five entry VMs probe as much as they may. They
// see different fleets and so probe the same servers, and one of them pauses.
// The servers count.
func TestBudgetOverSockets(t *testing.T) {
	c := &counter{}
	budget := cwbudget.Cost{Calls: 30, Bytes: 24 << 10}

	var (
		group   conc.WaitGroup
		servers []carobward.VM
		vms     []*entryVM
	)

	for range 20 {
		servers = append(servers, carobward.VM{Address: c.listen(t), Service: "records"})
	}

	ctx, stop := context.WithCancel(context.Background())

	for i := range 5 {
		id := carobward.VMID(fmt.Sprint("vm-", i))
		v := newVM(id, []carobward.VMID{id}, servers)
		vms = append(vms, v)

		group.Go(func() { v.run(ctx, budget, 4+i%3, i) })
	}

	cwtest.Wait(t, "some probes", func() bool { return c.count() > 20 })
	vms[0].paused.Store(true)

	some := c.count()
	cwtest.Wait(t, "more probes", func() bool { return c.count() > some+40 })
	stop()
	group.Wait()

	worst := c.worst()
	t.Logf("worst second at the servers: %+v of %+v", worst, budget)

	if worst.Calls > budget.Calls || worst.Bytes > budget.Bytes {
		t.Errorf("the servers counted %+v of %+v in a second", worst, budget)
	}

	total := cwbudget.Cost{}
	for _, v := range vms {
		one := v.account.Total()
		total.Calls += one.Calls
		total.Bytes += one.Bytes
	}

	if total.Calls < int64(c.count()) {
		t.Errorf("the entry VMs counted %d calls, the servers %d", total.Calls, c.count())
	}
}

// TestCheck has the outcomes of one probe.
func TestCheck(t *testing.T) {
	text := func(s string) *string { return &s }

	for name, test := range map[string]struct {
		status int64
		report *string
		want   cwnews.Check
		run    uint64
	}{
		"serves":               {200, text("TEXT named_metrics.run=7"), cwnews.Fine, 7},
		"serves, no report":    {200, nil, cwnews.Fine, 0},
		"drains":               {503, nil, cwnews.Draining, 0},
		"drains by its report": {200, text("TEXT named_metrics.draining=1"), cwnews.Draining, 0},
		"fails":                {500, nil, cwnews.Silent, 0},
		"too large":            {200, text("TEXT " + fmt.Sprintf("%02000d", 0)), cwnews.Silent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := &counter{}
			c.state.Store(test.status)
			c.report.Store(test.report)

			got := check(context.Background(), c.listen(t), "/healthz")
			if got.check != test.want || got.report.Run != test.run {
				t.Errorf("got %s, run %d", got.check, got.report.Run)
			}

			if got.bytes > cwbudget.Unit {
				t.Errorf("read %d bytes", got.bytes)
			}
		})
	}

	if got := check(context.Background(), closed(t), "/healthz"); got.check != cwnews.Refused {
		t.Errorf("nothing listens: %s", got.check)
	}
}

func closed(t *testing.T) carobward.Address {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = ln.Close()

	return carobward.Address(ln.Addr().String())
}

// TestPick has the stalest first and the fresh ones left out.
func TestPick(t *testing.T) {
	now := time.Now()
	table := cwserver.NewTable()
	table.Update([]carobward.VM{{Address: "a"}, {Address: "b"}, {Address: "c"}, {Address: "d"}})

	ages := map[carobward.Address]time.Duration{"a": 3 * time.Second, "b": 500 * time.Millisecond, "c": 9 * time.Second}
	for _, s := range table.All() {
		if age, ok := ages[s.Address]; ok {
			s.SetReport(carobward.Report{At: now.Add(-age)})
		}
	}

	probed := map[carobward.Address]time.Time{"c": now.Add(-2 * time.Second)}

	var got []carobward.Address
	for _, s := range pick(now, table.All(), probed, time.Second) {
		got = append(got, s.Address)
	}

	if diff := cmp.Diff([]carobward.Address{"d", "a", "c"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestMine shows that each server is probed by one VM, that the load is even,
// and that a lost VM moves its own servers only.
func TestMine(t *testing.T) {
	table := cwserver.NewTable()

	var list []carobward.VM
	for i := range 600 {
		list = append(list, carobward.VM{Address: carobward.Address(fmt.Sprintf("10.1.%d.%d:80", i/200, i%200))})
	}

	table.Update(list)

	var vms []carobward.VMID
	for i := range 20 {
		vms = append(vms, carobward.VMID(fmt.Sprint("vm-", i)))
	}

	owners := func(vms []carobward.VMID) map[carobward.Address]carobward.VMID {
		all := map[carobward.Address]carobward.VMID{}

		for _, v := range vms {
			mine := Mine(v, vms, table.All())
			if len(mine) == 0 || len(mine) > 60 {
				t.Errorf("%s has %d of 600 servers", v, len(mine))
			}

			for _, s := range mine {
				if other, ok := all[s.Address]; ok {
					t.Errorf("%s is probed by %s and %s", s.Address, other, v)
				}

				all[s.Address] = v
			}
		}

		return all
	}

	before := owners(vms)
	after := owners(slices.Delete(slices.Clone(vms), 3, 4))

	if len(before) != 600 || len(after) != 600 {
		t.Errorf("%d and %d of 600 servers are probed", len(before), len(after))
	}

	for a, v := range before {
		if v != "vm-3" && after[a] != v {
			t.Errorf("%s moved from %s to %s", a, v, after[a])
		}
	}
}

func BenchmarkMine(b *testing.B) {
	for _, n := range []int{30, 600, 6600} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			table := cwserver.NewTable()

			var list []carobward.VM
			for i := range n {
				list = append(list, carobward.VM{Address: carobward.Address(fmt.Sprintf("10.1.%d.%d:80", i/200, i%200))})
			}

			table.Update(list)

			var vms []carobward.VMID
			for i := range max(19, n/33) {
				vms = append(vms, carobward.VMID(fmt.Sprint("vm-", i)))
			}

			servers := table.All()

			for b.Loop() {
				Mine("vm-0", vms, servers)
			}
		})
	}
}
