package cwserver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

func listOf(addresses ...carobward.Address) []carobward.VM {
	var list []carobward.VM
	for _, a := range addresses {
		list = append(list, carobward.VM{Address: a, Service: "records"})
	}

	return list
}

func staying(t *Table, now time.Time) []carobward.Address {
	var all []carobward.Address

	for _, s := range t.Of("records") {
		if t.MayDispatch(s, now) {
			all = append(all, s.Address)
		}
	}

	return all
}

// TestWhoGetsWork has the levels against the servers that may get work.
func TestWhoGetsWork(t *testing.T) {
	type levels = map[carobward.Address]Level

	for name, test := range map[string]struct {
		levels levels
		want   []carobward.Address
	}{
		"all stay":                          {nil, []carobward.Address{"a", "b", "c"}},
		"one may leave":                     {levels{"a": MayLeave}, []carobward.Address{"b", "c"}},
		"only one stays":                    {levels{"a": MayLeave, "b": Leaves}, []carobward.Address{"c"}},
		"health says that all leave":        {levels{"a": MayLeave, "b": MayLeave, "c": MayLeave}, []carobward.Address{"a", "b", "c"}},
		"the last resort is not the sure":   {levels{"a": MayLeave, "b": Leaves, "c": Leaves}, []carobward.Address{"a"}},
		"all leave surely, so nobody gets":  {levels{"a": Leaves, "b": Leaves, "c": Leaves}, nil},
		"a server that is not on the list ": {levels{"x": Leaves}, []carobward.Address{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.SetLevels(test.levels, nil)
			table.Update(listOf("a", "b", "c"))

			if diff := cmp.Diff(test.want, staying(table, time.Now())); diff != "" {
				t.Errorf("known before: %s", diff)
			}

			table.SetLevels(nil, nil)
			table.SetLevels(test.levels, nil)

			if diff := cmp.Diff(test.want, staying(table, time.Now())); diff != "" {
				t.Errorf("learned after: %s", diff)
			}
		})
	}
}

// TestWordStandsUntilTaken shows that a server's word holds from the reply on,
// whatever comes from elsewhere meanwhile.
func TestWordStandsUntilTaken(t *testing.T) {
	table := NewTable()
	table.Update(listOf("a", "b"))

	now := time.Now()
	first := table.Of("records")[0]
	first.SetReport(carobward.Report{At: now, Draining: true, Run: 7})
	first.SetReport(carobward.Report{At: now, Run: 7})
	table.SetLevels(nil, nil)
	table.Update(listOf("a", "b"))

	if diff := cmp.Diff([]carobward.Address{"b"}, staying(table, now)); diff != "" {
		t.Error(diff)
	}

	words := table.Words()
	if diff := cmp.Diff([]Word{{Address: "a", Run: 7, Draining: true}}, words); diff != "" {
		t.Error(diff)
	}

	table.SetLevels(nil, words)

	if diff := cmp.Diff([]carobward.Address{"a", "b"}, staying(table, now)); diff != "" {
		t.Errorf("after it was taken: %s", diff)
	}

	table.Update(listOf("b"))
	table.Update(listOf("a", "b"))
	first.SetReport(carobward.Report{At: now, Draining: true})

	if diff := cmp.Diff([]Word(nil), table.Words()); diff != "" {
		t.Errorf("the word of the server before: %s", diff)
	}
}

// TestPaused shows that no work is given out by old news.
func TestPaused(t *testing.T) {
	table := NewTable()
	table.Update(listOf("a"))

	now := time.Now()
	table.SetFresh(now)

	if got := staying(table, now); len(got) != 1 {
		t.Error("fresh, but no work")
	}

	if got := staying(table, now.Add(1)); len(got) != 0 {
		t.Error("work by old news")
	}
}
