package cwpoison

import (
	"cmp"
	"slices"
)

// sorted returns requests in an order that is the same in each run.
func sorted(out map[*request]bool) []*request {
	list := make([]*request, 0, len(out))
	for q := range out {
		list = append(list, q)
	}

	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.call.URI, b.call.URI), cmp.Compare(a.caller, b.caller), cmp.Compare(a.vm, b.vm), cmp.Compare(a.sends, b.sends))
	})

	return list
}
