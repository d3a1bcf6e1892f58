package cwserver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

func vmList(addresses ...carobward.Address) []carobward.VM {
	var list []carobward.VM
	for _, a := range addresses {
		list = append(list, carobward.VM{Address: a, Service: "records"})
	}

	return list
}

func dispatchable(t *Table, now time.Time) []carobward.Address {
	var all []carobward.Address

	for _, s := range t.Of("records") {
		if t.MayDispatch(s, now) {
			all = append(all, s.Address)
		}
	}

	return all
}

// TestDispatchByLevel checks which servers may get work at given levels, whether
// the levels are known before the VM list or only after it.
func TestDispatchByLevel(t *testing.T) {
	type levels = map[carobward.Address]Level

	for name, test := range map[string]struct {
		levels levels
		want   []carobward.Address
	}{
		"all stay":                         {nil, []carobward.Address{"a", "b", "c"}},
		"one may leave":                    {levels{"a": MayLeave}, []carobward.Address{"b", "c"}},
		"only one stays":                   {levels{"a": MayLeave, "b": Leaves}, []carobward.Address{"c"}},
		"health reports that all leave":    {levels{"a": MayLeave, "b": MayLeave, "c": MayLeave}, []carobward.Address{"a", "b", "c"}},
		"one may leave, the others do":     {levels{"a": MayLeave, "b": Leaves, "c": Leaves}, []carobward.Address{"a"}},
		"all leave":                        {levels{"a": Leaves, "b": Leaves, "c": Leaves}, nil},
		"a server that is not on the list": {levels{"x": Leaves}, []carobward.Address{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.SetLevels(test.levels, nil)
			table.Update(vmList("a", "b", "c"))

			if diff := cmp.Diff(test.want, dispatchable(table, time.Now())); diff != "" {
				t.Errorf("levels set before the VM list: %s", diff)
			}

			table.SetLevels(nil, nil)
			table.SetLevels(test.levels, nil)

			if diff := cmp.Diff(test.want, dispatchable(table, time.Now())); diff != "" {
				t.Errorf("levels set after the VM list: %s", diff)
			}
		})
	}
}

// TestAnnouncementHoldsUntilTaken verifies that a server's announcement holds
// from the reply on until SetLevels takes it, whatever other sources report
// meanwhile, and that a late one of a server that was replaced at its address
// is ignored.
func TestAnnouncementHoldsUntilTaken(t *testing.T) {
	table := NewTable()
	table.Update(vmList("a", "b"))

	now := time.Now()
	first := table.Of("records")[0]
	first.SetReport(carobward.Report{At: now, Draining: true, Run: 7})
	first.SetReport(carobward.Report{At: now, Run: 7})
	table.SetLevels(nil, nil)
	table.Update(vmList("a", "b"))

	if diff := cmp.Diff([]carobward.Address{"b"}, dispatchable(table, now)); diff != "" {
		t.Error(diff)
	}

	announcements := table.Announcements()
	if diff := cmp.Diff([]Announcement{{Address: "a", Run: 7, Draining: true}}, announcements); diff != "" {
		t.Error(diff)
	}

	table.SetLevels(nil, announcements)

	if diff := cmp.Diff([]carobward.Address{"a", "b"}, dispatchable(table, now)); diff != "" {
		t.Errorf("after the announcement was taken: %s", diff)
	}

	table.Update(vmList("b"))
	table.Update(vmList("a", "b"))
	first.SetReport(carobward.Report{At: now, Draining: true})

	if diff := cmp.Diff([]Announcement(nil), table.Announcements()); diff != "" {
		t.Errorf("announcement of the server that was replaced: %s", diff)
	}
}

// TestNoDispatchOnOutdatedLevels verifies that nothing is dispatched once the
// levels are out of date, as after a pause of the entry VM.
func TestNoDispatchOnOutdatedLevels(t *testing.T) {
	table := NewTable()
	table.Update(vmList("a"))

	now := time.Now()
	table.SetFreshUntil(now)

	if got := dispatchable(table, now); len(got) != 1 {
		t.Error("no server may get work although the levels are up to date")
	}

	if got := dispatchable(table, now.Add(1)); len(got) != 0 {
		t.Error("a server may get work although the levels are out of date")
	}
}
