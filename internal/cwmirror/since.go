package cwmirror

import (
	"slices"

	"carobward.example/carobward"
)

// Since returns the changes after the state of another copy: all keys where that is too
// long ago, in a gap, or in an era from which the way is not known. What is kept beside
// them is not among them.
func (m *Mirror) Since(from State) carobward.Changes {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	out := carobward.Changes{Era: m.state.Era, AfterEra: from.Era, After: from.Index, Index: m.state.Index}

	switch {
	case from.Era == m.state.Era && !m.lacks(from.Index):
		out.Gap = m.gapAfter(from.Index)
		out.Items = m.itemsAfter(from.Index)
	case m.origin.isFrom(from) && !m.lacks(m.origin.index):
		out.Items = append(m.itemsAfter(m.origin.index), m.itemsOfEntry()...)
	default:
		out.After, out.AfterEra, out.Whole = 0, m.state.Era, true
		out.Gap = m.gapAfter(0)
		out.Items = m.itemsThere()
	}

	return out
}

// itemsAfter returns the items that changed after an index, removed ones among them.
func (m *Mirror) itemsAfter(after carobward.StoreIndex) []carobward.Item {
	var list []carobward.Item

	for _, it := range m.items {
		if it.Index > after {
			list = append(list, it.Item)
		}
	}

	return list
}

// itemsThere returns the items of all keys that there are.
func (m *Mirror) itemsThere() []carobward.Item {
	var list []carobward.Item

	for _, it := range m.items {
		if !it.Gone {
			list = append(list, it.Item)
		}
	}

	return list
}

// itemsOfEntry returns what changed as the copy came into its era, and not since.
func (m *Mirror) itemsOfEntry() []carobward.Item {
	var list []carobward.Item

	for key := range m.origin.keys {
		switch it, ok := m.items[key]; {
		case !ok:
			list = append(list, carobward.Item{Key: key, Index: m.origin.index, Gone: true})
		case it.Index <= m.origin.index:
			list = append(list, it.Item)
		}
	}

	return list
}

// lacks tells whether removals after an index may not be known.
func (m *Mirror) lacks(after carobward.StoreIndex) bool {
	inGap := func(g carobward.Gap) bool { return g.Has(after) }

	return after == 0 || after < m.floor || slices.ContainsFunc(m.gaps, inGap)
}

// gapAfter returns one gap that covers all that begin at an index or later.
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
