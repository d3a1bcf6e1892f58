package cwmirror

import (
	"slices"

	"carobward.example/carobward"
)

// Since returns the changes after the state of another replica. It returns all keys if that state
// is too old, within a gap, or in an era from which the changes are not known. Kept items are not
// included.
func (m *Mirror) Since(from State) carobward.Changes {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	out := carobward.Changes{Era: m.state.Era, AfterEra: from.Era, After: from.Index, Index: m.state.Index}

	switch {
	case from.Era == m.state.Era && !m.mayLackRemovals(from.Index):
		out.Gap = m.gapAfter(from.Index)
		out.Items = m.itemsAfter(from.Index)
	case m.origin.matches(from) && !m.mayLackRemovals(m.origin.index):
		out.Items = append(m.itemsAfter(m.origin.index), m.originItems()...)
	default:
		out.After, out.AfterEra, out.Full = 0, m.state.Era, true
		out.Gap = m.gapAfter(0)
		out.Items = m.liveItems()
	}

	return out
}

// itemsAfter returns the items that changed after an index, including removed ones.
func (m *Mirror) itemsAfter(after carobward.StoreIndex) []carobward.Item {
	var list []carobward.Item

	for _, it := range m.items {
		if it.Index > after {
			list = append(list, it.Item)
		}
	}

	return list
}

// liveItems returns the items of all keys that exist.
func (m *Mirror) liveItems() []carobward.Item {
	var list []carobward.Item

	for _, it := range m.items {
		if !it.Deleted {
			list = append(list, it.Item)
		}
	}

	return list
}

// originItems returns the items that changed when the replica entered its era and have not changed
// since.
func (m *Mirror) originItems() []carobward.Item {
	var list []carobward.Item

	for key := range m.origin.keys {
		switch it, ok := m.items[key]; {
		case !ok:
			list = append(list, carobward.Item{Key: key, Index: m.origin.index, Deleted: true})
		case it.Index <= m.origin.index:
			list = append(list, it.Item)
		}
	}

	return list
}

// mayLackRemovals reports whether removals after an index may be unknown.
func (m *Mirror) mayLackRemovals(after carobward.StoreIndex) bool {
	inGap := func(g carobward.Gap) bool { return g.Contains(after) }

	return after == 0 || after < m.floor || slices.ContainsFunc(m.gaps, inGap)
}

// gapAfter returns one gap that covers all gaps beginning at an index or later.
func (m *Mirror) gapAfter(after carobward.StoreIndex) carobward.Gap {
	var all carobward.Gap

	for _, g := range m.gaps {
		if g.From < after {
			continue
		}

		if all.IsEmpty() {
			all = g
		}

		all.From, all.To = min(all.From, g.From), max(all.To, g.To)
	}

	return all
}
