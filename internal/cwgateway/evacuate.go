package cwgateway

import (
	"slices"
	"strings"
	"time"

	"carobward.example/carobward"
)

// evacuated is what is known of an evacuation: when this entry VM learned of it, and
// the store's index of it.
type evacuated struct {
	since time.Time
	index carobward.StoreIndex
}

// evacuate takes a change of a key by which the operators evacuate a failure domain or
// take it back; other keys are passed over. The key lies in the copy of the store that
// entry VMs hand to each other, so that one that starts again, joins, or is cut off from
// the store has it with the list of servers, and only its removal ends it. The mutex is
// held.
func (g *Gateway) evacuate(it *carobward.Item, now time.Time) {
	d, ok := g.Adapter.Evacuated(it.Key)
	if !ok {
		return
	}

	if _, was := g.evacuated[d]; was == !it.Gone {
		return
	}

	servers := g.servers.SetEvacuated(d, !it.Gone)

	if it.Gone {
		delete(g.evacuated, d)
		g.log.Info("A failure domain is taken back.", "domain", d, "servers", servers, "index", it.Index)

		return
	}

	g.evacuated[d] = evacuated{now, it.Index}
	g.log.Info("A failure domain is evacuated, its servers get nothing more.", "domain", d, "servers", servers, "index", it.Index)
}

// evacuation is an evacuated failure domain as operators see it.
type evacuation struct {
	Domain carobward.Domain `json:"domain"`
	// Age is for how long this entry VM has known of it.
	Age   string               `json:"age"`
	Index carobward.StoreIndex `json:"index"`
}

// evacuations returns the evacuated failure domains in the order of their names.
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
