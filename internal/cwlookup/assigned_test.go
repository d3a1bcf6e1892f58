package cwlookup_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/lab/cwassignment"
)

func TestAssignedVMs(t *testing.T) {
	tests := map[string]struct {
		vms, width int
		want       map[carobward.Domain]int
	}{
		"two per domain":            {19, 2, map[carobward.Domain]int{"domain-0": 2, "domain-1": 2, "domain-2": 2}},
		"a hot target":              {19, 4, map[carobward.Domain]int{"domain-0": 4, "domain-1": 4, "domain-2": 4}},
		"wider than a domain":       {7, 9, map[carobward.Domain]int{"domain-0": 3, "domain-1": 2, "domain-2": 2}},
		"a domain with a single VM": {4, 2, map[carobward.Domain]int{"domain-0": 2, "domain-1": 1, "domain-2": 1}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[carobward.Domain]int{}
			for _, p := range cwlookup.AssignedVMs(cwassignment.Peers(test.vms), "lookup", test.width) {
				got[p.Domain]++
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLostVMIsReplaced verifies that if an entry VM is lost, one other takes its
// place for its targets and the assignment of all other targets is unchanged.
func TestLostVMIsReplaced(t *testing.T) {
	all := cwassignment.Peers(19)
	lost := cwlookup.AssignedVMs(all, "lookup", cwlookup.BaseWidth)[0].ID
	left := cwassignment.Without(all, lost)

	for i := range 50 {
		target := cwassignment.Target(i)
		want := cwassignment.IDs(cwlookup.AssignedVMs(all, target, cwlookup.BaseWidth))[lost]

		if changed := cwassignment.Moved(cwlookup.AssignedVMs, all, left, target); changed > 1 || (changed == 1) != want {
			t.Errorf("%s: %d assigned entry VMs changed, the lost one was among them: %v", target, changed, want)
		}
	}
}

// TestTargetsSpread verifies that many targets are spread over all entry VMs.
func TestTargetsSpread(t *testing.T) {
	// 220 targets with 6 entry VMs each make 69 for each of 19 on average.
	if got := cwassignment.MeasureDistribution(19, 220); got.Min < 35 || got.Max > 120 {
		t.Errorf("the entry VMs are assigned %d to %d targets each", got.Min, got.Max)
	}
}

// TestWidthsConverge verifies that, while callers follow the widths of a target
// with a high request rate, the entry VMs converge to one that suffices.
func TestWidthsConverge(t *testing.T) {
	settled := []int{7, 7, 7, 7, 7, 7, 7}

	for i, widths := range cwassignment.Settle(30, 10, 20000, 3000) {
		if diff := cmp.Diff(settled, widths); i > 3 && diff != "" {
			t.Errorf("round %d: %s", i, diff)
		}
	}
}

// TestHandler looks up addresses over HTTP, with and without a target.
func TestHandler(t *testing.T) {
	all := cwassignment.Peers(19)
	table := cwpeer.NewTable(all[0])
	table.Replace(all)

	app := cwlookup.Handler(table, 5*time.Second, prefix("p"), cwlookup.NewWidths(table, 3000, 5*time.Second))

	assigned := cwassignment.IDs(cwlookup.AssignedVMs(all, "lookup", cwlookup.BaseWidth))
	used := map[string]map[carobward.VMID]bool{}

	for _, query := range []string{"", "&target=lookup", "&target=lookup&width=-1"} {
		used[query] = map[carobward.VMID]bool{}

		for i := range 60 {
			a := lookup(t, app, fmt.Sprintf("/addresses?caller=c%d&domain=domain-%d%s", i, i%3, query))
			if len(a.Use) != 4 || a.Use[0].Domain != carobward.Domain(fmt.Sprintf("domain-%d", i%3)) {
				t.Fatalf("unexpected reply %+v", a)
			}

			for _, l := range a.Use {
				used[query][l.VM] = true
			}
		}
	}

	if diff := cmp.Diff(assigned, used["&target=lookup"]); diff != "" {
		t.Error(diff)
	}

	if diff := cmp.Diff(assigned, used["&target=lookup&width=-1"]); diff != "" {
		t.Error(diff)
	}

	if len(used[""]) < 15 {
		t.Errorf("without a target only %d entry VMs are in the replies, want at least 15", len(used[""]))
	}
}

// prefix is a Tickets whose prefixes are all the same.
type prefix string

func (p prefix) Prefix() string { return string(p) }

func lookup(t *testing.T, app *fiber.App, uri string) cwlookup.Reply {
	t.Helper()

	resp, err := app.Test(httptest.NewRequest(http.MethodGet, uri, nil), -1)
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	var a cwlookup.Reply
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}

	return a
}

func BenchmarkAssignedVMs(b *testing.B) {
	for _, vms := range []int{19, 200} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			all := cwassignment.Peers(vms)

			b.ReportAllocs()

			for range b.N {
				if len(cwlookup.Choose(cwlookup.AssignedVMs(all, "lookup", cwlookup.BaseWidth), "caller", "domain-0")) == 0 {
					b.Fatal("no address was chosen")
				}
			}
		})
	}
}
