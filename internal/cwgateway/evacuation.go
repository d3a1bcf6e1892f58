package cwgateway

import (
	"slices"
	"strings"
	"time"

	"carobward.example/carobward"
)

// evacuationRecord is when this entry VM learned of an evacuation, and the store's index
// of it.
type evacuationRecord struct {
	since time.Time
	index carobward.StoreIndex
}

// applyEvacuation handles a changed key by which operators evacuate a failure domain or end
// its evacuation; it ignores all other keys. The key is part of the replica of the store that
// entry VMs pass to each other, so one that restarts, joins or has lost the store receives it
// together with the list of servers. Only the removal of the key ends an evacuation. The
// caller holds g.mutex.
func (g *Gateway) applyEvacuation(it *carobward.Item, now time.Time) {
	d, ok := g.Adapter.Evacuated(it.Key)
	if !ok {
		return
	}

	if _, was := g.evacuated[d]; was == !it.Deleted {
		return
	}

	servers := g.servers.SetEvacuated(d, !it.Deleted)

	if it.Deleted {
		delete(g.evacuated, d)
		g.log.Info("The evacuation of a failure domain has ended.", "domain", d, "servers", servers, "index", it.Index)

		return
	}

	g.evacuated[d] = evacuationRecord{now, it.Index}
	g.log.Info("A failure domain is evacuated; its servers get no further requests.", "domain", d, "servers", servers, "index", it.Index)
}

// evacuation is an evacuated failure domain as shown to operators.
type evacuation struct {
	Domain carobward.Domain `json:"domain"`
	// Age is how long this entry VM has known of it.
	Age   string               `json:"age"`
	Index carobward.StoreIndex `json:"index"`
}

// evacuations returns the evacuated failure domains, sorted by name.
func (g *Gateway) evacuations() []evacuation {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	list := []evacuation{}
	now := g.Clock.Now()

	for d, e := range g.evacuated {
		list = append(list, evacuation{Domain: d, Age: now.Sub(e.since).Round(time.Millisecond).String(), Index: e.index})
	}

	slices.SortFunc(list, func(a, b evacuation) int { return strings.Compare(string(a.Domain), string(b.Domain)) })

	return list
}
