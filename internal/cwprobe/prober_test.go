package cwprobe

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/lab/cwcounter"
)

// TestProbeOnce checks the outcome of one probe for each kind of reply, and
// that it reads no more than the largest size of a probe.
func TestProbeOnce(t *testing.T) {
	header := func(s string) *string { return &s }

	for name, test := range map[string]struct {
		status int
		report *string
		want   cwdrain.CheckResult
		run    uint64
	}{
		"healthy":                {200, header("TEXT named_metrics.run=7"), cwdrain.Healthy, 7},
		"healthy, no report":     {200, nil, cwdrain.Healthy, 0},
		"draining by status":     {503, nil, cwdrain.Draining, 0},
		"draining by its report": {200, header("TEXT named_metrics.draining=1"), cwdrain.Draining, 0},
		"failing":                {500, nil, cwdrain.NoResult, 0},
		"reply too large":        {200, header("TEXT " + fmt.Sprintf("%02000d", 0)), cwdrain.NoResult, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := cwcounter.New(test.status, test.report)
			defer c.Close()

			address, err := c.Listen()
			if err != nil {
				t.Fatal(err)
			}

			got := probeOnce(context.Background(), address, "/healthz")
			if got.check != test.want || got.report.Run != test.run {
				t.Errorf("got %s, run %d", got.check, got.report.Run)
			}

			if got.bytes > cwbudget.MaxProbeBytes {
				t.Errorf("the probe sent and read %d bytes, over its maximum size", got.bytes)
			}
		})
	}

	if got := probeOnce(context.Background(), closedAddress(t), "/healthz"); got.check != cwdrain.Refused {
		t.Errorf("nothing listens at the address: got %s, want refused", got.check)
	}
}

// TestReadReply guards against a server that counts as healthy because of a reply that others refuse.
func TestReadReply(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

	for name, c := range map[string]struct {
		reply string
		want  cwdrain.CheckResult
	}{
		"valid":             {ok, cwdrain.Healthy},
		"status 000":        {strings.Replace(ok, "200", "000", 1), cwdrain.NoResult},
		"a blank in a name": {strings.Replace(ok, "Content-", "A B: c\r\nContent-", 1), cwdrain.NoResult},
		"cut":               {ok[:len(ok)-1], cwdrain.NoResult},
	} {
		t.Run(name, func(t *testing.T) {
			got := readReply(&io.LimitedReader{R: strings.NewReader(c.reply), N: cwbudget.MaxProbeBytes})
			if got.check != c.want {
				t.Errorf("got %s", got.check)
			}
		})
	}
}

func closedAddress(t *testing.T) carobward.Address {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = ln.Close()

	return carobward.Address(ln.Addr().String())
}

// TestPickDue verifies that the servers with the oldest report or probe come
// first and those with a recent one are left out.
func TestPickDue(t *testing.T) {
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
	for _, s := range pickDue(now, table.All(), probed, time.Second) {
		got = append(got, s.Address)
	}

	if diff := cmp.Diff([]carobward.Address{"d", "a", "c"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestAssigned verifies that each server is probed by exactly one entry VM,
// that the servers are spread evenly, and that the loss of an entry VM
// reassigns only its own servers.
func TestAssigned(t *testing.T) {
	servers, vms := newFleet(600, 20)

	owners := func(vms []carobward.VMID) map[carobward.Address]carobward.VMID {
		all := map[carobward.Address]carobward.VMID{}

		for _, v := range vms {
			mine := Assigned(v, vms, servers)
			if len(mine) == 0 || len(mine) > 60 {
				t.Errorf("%s probes %d of 600 servers, want 1 to 60", v, len(mine))
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
		t.Errorf("%d of 600 servers are probed before the loss of an entry VM and %d after it, want all", len(before), len(after))
	}

	for a, v := range before {
		if v != "vm-3" && after[a] != v {
			t.Errorf("%s was reassigned from %s, which is still there, to %s", a, v, after[a])
		}
	}
}

func BenchmarkAssigned(b *testing.B) {
	for _, n := range []int{30, 600, 6600} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			servers, vms := newFleet(n, max(19, n/33))

			for b.Loop() {
				Assigned("vm-0", vms, servers)
			}
		})
	}
}

// newFleet returns a number of servers and a number of entry VM ids.
func newFleet(servers, vms int) ([]*cwserver.Server, []carobward.VMID) {
	list := make([]carobward.VM, servers)
	for i := range list {
		list[i].Address = carobward.Address(fmt.Sprintf("10.1.%d.%d:80", i/200, i%200))
	}

	ids := make([]carobward.VMID, vms)
	for i := range ids {
		ids[i] = carobward.VMID(fmt.Sprint("vm-", i))
	}

	table := cwserver.NewTable()
	table.Update(list)

	return table.All(), ids
}
