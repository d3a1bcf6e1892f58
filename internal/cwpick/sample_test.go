package cwpick

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// TestSample checks which servers are drawn for health checks.
func TestSample(t *testing.T) {
	near, far, blocked, noConn := view(0, 0, 1), view(0, 0, 1), view(0, 0, 1), view(0, 0, 1)
	near.Idle = true
	far.Domain, far.Idle = "b", true
	blocked.Blocked = true
	all := []cwbackend.View{far, blocked, noConn, near}

	draw := func(views []cwbackend.View, n int, seen ...*cwbackend.Server) []*cwbackend.Server {
		had := map[*cwbackend.Server]bool{}
		for _, s := range seen {
			had[s] = true
		}

		var out []*cwbackend.Server
		for _, v := range Sample(Global{}, views, n, home, had, 0) {
			out = append(out, v.Server)
		}

		return out
	}

	first := map[*cwbackend.Server]int{}

	for range 1000 {
		first[draw(all, 1)[0]]++
	}

	if first[far.Server] > 0 || first[blocked.Server] > 0 || first[noConn.Server] == 0 || first[near.Server] < 800 {
		t.Errorf("first: near %d, without a connection %d, far %d, blocked %d", first[near.Server], first[noConn.Server], first[far.Server], first[blocked.Server])
	}

	if got := draw(all, 4); len(got) != 3 || got[2] != far.Server {
		t.Errorf("%d drawn of three that are not blocked", len(got))
	}

	if got := draw(all, 4, near.Server, noConn.Server, far.Server); len(got) != 1 || got[0] != blocked.Server {
		t.Error("the blocked server is not drawn when there is no other")
	}

	if got := draw(nil, 4); len(got) != 0 {
		t.Error("servers drawn from an empty list")
	}
}

// TestSampleRounds checks that later rounds also draw servers of other failure domains: near
// ones may be full for as long as their own failure domain has many callers.
func TestSampleRounds(t *testing.T) {
	var views []cwbackend.View

	for range 12 {
		views = append(views, view(0, 0, 1))
	}

	for i := range 4 {
		views[i].Domain = "b"
	}

	seen := map[*cwbackend.Server]bool{}
	count := func(round int) int {
		far := 0

		for _, v := range Sample(Global{}, views, SampleSize, home, seen, round) {
			seen[v.Server] = true

			if v.Domain != home {
				far++
			}
		}

		return far
	}

	got := []int{count(0), count(1), count(2)}
	if diff := cmp.Diff([]int{0, SampleSize / 2, SampleSize / 2}, got); diff != "" {
		t.Error(diff)
	}
}

// TestSampleConns checks which servers are drawn first by the state of their connections: at
// home those that need no further connection, elsewhere also those that had room lately.
func TestSampleConns(t *testing.T) {
	// The result of the random source decides whether a draw is a fresh one, or tries a server.
	const never, tries, often = 1, 0.2, 0

	full := view(4, 0, 1)
	full.Idle = true
	inUse, idle, none, unknown := view(0, 0, 1), view(0, 0, 1), view(0, 0, 1), view(0, 0, 1)
	inUse.InUse, idle.Idle, unknown.Report = true, true, carobward.Report{}

	unknownInUse := unknown
	unknownInUse.InUse = true

	for name, c := range map[string]struct {
		list  []cwbackend.View
		far   bool
		fresh float64
		// want has the places in the list that are drawn, in order.
		want []int
	}{
		"an idle connection, none, one in use":  {list: []cwbackend.View{inUse, none, idle}, fresh: never, want: []int{2, 1, 0}},
		"a server that has not been tried":      {list: []cwbackend.View{none, unknown, inUse}, fresh: tries, want: []int{1, 0, 2}},
		"only one is tried":                     {list: []cwbackend.View{unknown, unknown, idle}, fresh: tries, want: []int{0, 2, 1}},
		"none is tried":                         {list: []cwbackend.View{unknown, idle}, fresh: never, want: []int{1, 0}},
		"its first health check is in progress": {list: []cwbackend.View{unknownInUse, none}, fresh: never, want: []int{1, 0}},
		"a fresh draw opens no second one":      {list: []cwbackend.View{inUse, none}, fresh: often, want: []int{1, 0}},
		"at home a full one is drawn again":     {list: []cwbackend.View{none, full}, fresh: never, want: []int{1, 0}},
		"elsewhere one with room comes first":   {list: []cwbackend.View{unknown, inUse, idle}, far: true, fresh: never, want: []int{2, 0, 1}},
		"elsewhere one was full":                {list: []cwbackend.View{unknown, inUse, full, idle}, far: true, fresh: never, want: []int{0, 2, 3, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			place := map[*cwbackend.Server]int{}

			for i := range c.list {
				c.list[i].Server = &cwbackend.Server{}
				place[c.list[i].Server] = i

				if c.far {
					c.list[i].Domain = "b"
				}
			}

			var got []int
			for _, v := range Sample(fixedRandom(c.fresh), c.list, SampleSize, home, nil, 0) {
				got = append(got, place[v.Server])
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// fixedRandom is a source whose numbers are all the same and which shuffles nothing.
type fixedRandom float64

func (f fixedRandom) Float64() float64                { return float64(f) }
func (f fixedRandom) Shuffle(_ int, _ func(i, j int)) {}
