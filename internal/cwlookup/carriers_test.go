package cwlookup

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
	"carobward.example/carobward/internal/cwpeer"
)

// fleet returns entry VMs in three failure domains in turn.
func fleet(n int) []carobward.Peer {
	var all []carobward.Peer
	for i := range n {
		all = append(all, carobward.Peer{
			ID:      carobward.VMID(fmt.Sprintf("vm-%02d", i)),
			Domain:  carobward.Domain(fmt.Sprintf("domain-%d", i%3)),
			Callers: carobward.Address(fmt.Sprintf("10.0.0.%d:7000", i)),
			State:   carobward.PeerLive,
		})
	}

	return all
}

func ids(peers []carobward.Peer) map[carobward.VMID]bool {
	all := map[carobward.VMID]bool{}
	for _, p := range peers {
		all[p.ID] = true
	}

	return all
}

func TestCarriers(t *testing.T) {
	tests := map[string]struct {
		vms, width int
		want       map[carobward.Domain]int
	}{
		"two a domain":              {19, 2, map[carobward.Domain]int{"domain-0": 2, "domain-1": 2, "domain-2": 2}},
		"a hot target":              {19, 4, map[carobward.Domain]int{"domain-0": 4, "domain-1": 4, "domain-2": 4}},
		"more than there are":       {7, 9, map[carobward.Domain]int{"domain-0": 3, "domain-1": 2, "domain-2": 2}},
		"a domain with one VM only": {4, 2, map[carobward.Domain]int{"domain-0": 2, "domain-1": 1, "domain-2": 1}},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[carobward.Domain]int{}
			for _, p := range Carriers(fleet(test.vms), "lookup", test.width) {
				got[p.Domain]++
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestALostCarrier takes one entry VM away: one other one takes its place and
// no other target's carriers change.
func TestALostCarrier(t *testing.T) {
	all := fleet(19)
	lost := Carriers(all, "lookup", Base)[0].ID

	var left []carobward.Peer

	for _, p := range all {
		if p.ID != lost {
			left = append(left, p)
		}
	}

	for i := range 50 {
		target := carobward.TargetName(fmt.Sprintf("target-%d", i))
		before, after := ids(Carriers(all, target, Base)), ids(Carriers(left, target, Base))

		changed := 0

		for id := range before {
			if !after[id] {
				changed++
			}
		}

		if want := before[lost]; changed > 1 || (changed == 1) != want {
			t.Errorf("%s: %d carriers changed, the lost one was among them: %v", target, changed, want)
		}
	}
}

// TestTargetsSpread shows that many targets load all entry VMs.
func TestTargetsSpread(t *testing.T) {
	counts := map[carobward.VMID]int{}

	for i := range 220 {
		for _, p := range Carriers(fleet(19), carobward.TargetName(fmt.Sprintf("target-%d", i)), Base) {
			counts[p.ID]++
		}
	}

	// 220 targets with 6 carriers each are 69 for each of 19.
	for id, n := range counts {
		if n < 35 || n > 120 {
			t.Errorf("%s carries %d targets", id, n)
		}
	}

	if len(counts) != 19 {
		t.Errorf("%d entry VMs carry targets", len(counts))
	}
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		rate       float64
		old, place int
		want       int
	}{
		"cold":                         {100, 0, 0, 2},
		"hot":                          {5000, 0, 0, 4},
		"stays once others help":       {2500, 4, 0, 4},
		"one of those who help":        {2500, 0, 3, 4},
		"cools down":                   {600, 4, 0, 2},
		"gone":                         {0, 9, 0, 2},
		"a few strays at the last one": {20, 0, 18, 2},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := decide(test.rate, 3000, test.old, test.place); got != test.want {
				t.Errorf("width %d, want %d", got, test.want)
			}
		})
	}
}

// TestWidthsSettle lets callers follow the widths of a hot target and shows
// that the entry VMs come to one that is enough and stay there.
func TestWidthsSettle(t *testing.T) {
	const (
		rate = 20000.0
		keep = 5 * time.Second
	)

	all := fleet(30)

	var near []carobward.Peer

	for _, p := range Carriers(all, "hot", len(all)) {
		if p.Domain == "domain-0" {
			near = append(near, p)
		}
	}

	var widths []*Widths

	for _, p := range near {
		table := cwpeer.NewTable(p)
		table.Replace(all)
		widths = append(widths, NewWidths(table, 3000, keep))
	}

	now := time.Now()
	width := Base

	for round := range 10 {
		now = now.Add(paceKeeps * keep)

		for i, w := range widths {
			if i < width {
				w.Of("hot", width)
			}

			w.Tick(now, func() map[carobward.TargetName]int {
				if i >= width {
					return nil
				}

				return map[carobward.TargetName]int{"hot": int(rate / float64(width) * (paceKeeps * keep).Seconds())}
			})
		}

		// Callers follow what a carrier answers.
		width = min(len(near), widths[0].Of("hot", 0))

		if round > 3 && width != 7 {
			t.Errorf("round %d: width %d, want 7", round, width)
		}

		for i := range width {
			if got := widths[i].Of("hot", 0); round > 3 && got != width {
				t.Errorf("round %d: carrier %d has width %d", round, i, got)
			}
		}
	}
}

// TestHandler asks over HTTP with and without a target.
func TestHandler(t *testing.T) {
	all := fleet(19)
	table := cwpeer.NewTable(all[0])
	table.Replace(all)

	app := Handler(table, 5*time.Second, prefix("p"), NewWidths(table, 3000, 5*time.Second))

	carriers := ids(Carriers(all, "lookup", Base))
	used := map[string]map[carobward.VMID]bool{}

	for _, query := range []string{"", "&target=lookup", "&target=lookup&width=-1"} {
		used[query] = map[carobward.VMID]bool{}

		for i := range 60 {
			a := ask(t, app, fmt.Sprintf("/addresses?caller=c%d&domain=domain-%d%s", i, i%3, query))
			if len(a.Use) != 4 || a.Use[0].Domain != carobward.Domain(fmt.Sprintf("domain-%d", i%3)) {
				t.Fatalf("answer %+v", a)
			}

			for _, l := range a.Use {
				used[query][l.VM] = true
			}
		}
	}

	if diff := cmp.Diff(carriers, used["&target=lookup"]); diff != "" {
		t.Error(diff)
	}

	if diff := cmp.Diff(carriers, used["&target=lookup&width=-1"]); diff != "" {
		t.Error(diff)
	}

	if len(used[""]) < 15 {
		t.Errorf("without a target only %d entry VMs are named", len(used[""]))
	}
}

// prefix is a fake issuer of tickets.
type prefix string

func (p prefix) Prefix() string { return string(p) }

func ask(t *testing.T, app *fiber.App, uri string) Answer {
	t.Helper()

	resp, err := app.Test(httptest.NewRequest(http.MethodGet, uri, nil), -1)
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	var a Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}

	return a
}

func BenchmarkCarriers(b *testing.B) {
	for _, vms := range []int{19, 200} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			all := fleet(vms)

			b.ReportAllocs()

			for range b.N {
				if len(Choose(Carriers(all, "lookup", Base), "caller", "domain-0")) == 0 {
					b.Fatal("none")
				}
			}
		})
	}
}
