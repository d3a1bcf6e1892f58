package cwgateway

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
)

// goneTime is for how long a server's entry that was removed, and is there again as it was,
// counts as removed: its process may go on for seconds after it left, and gets nothing. An
// entry that had only lapsed is written again by its server.
const goneTime = 10 * time.Second

// lostTime is for how long what a store lost stays in force while nobody has written it
// again: the platform does so some seconds after the store came back, and an operator who
// misses it has seen to it by then.
const lostTime = time.Minute

// newMirror returns an empty copy of the store.
func newMirror(a *Adapter) *cwmirror.Mirror {
	return cwmirror.New(cwmirror.Options{Rank: a.Rank, Retention: a.stay, IsRouting: a.IsRouting, IsBackend: a.IsBackend})
}

// stay returns for how long an item stays in force that a store came back without. A
// configuration does until there is a newer one. Entries of servers that live are back
// soon.
func (a *Adapter) stay(it carobward.Item) time.Duration {
	switch {
	case a.IsRouting(it.Key):
		return carobward.Always
	case a.IsBackend(it.Key) && !it.Gone:
		return cwmirror.ReregisterTime
	case a.IsBackend(it.Key):
		return goneTime
	default:
		return lostTime
	}
}
