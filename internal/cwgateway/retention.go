package cwgateway

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
)

// removalRetention is how long a server entry counts as removed if a restored store has it
// again, unchanged: the server's process may go on for seconds after it has left, and must get
// no requests. A server whose entry had only expired writes it again.
const removalRetention = 10 * time.Second

// lostItemRetention is how long other items that a restored store has lost stay in force if
// nobody writes them again: the platform does so within seconds of the restore, and an
// operator who misses one has acted by then.
const lostItemRetention = time.Minute

// newMirror returns an empty replica of the store.
func newMirror(o *Options) *cwmirror.Mirror {
	a := &o.Adapter

	return cwmirror.New(cwmirror.Options{
		Rank: a.Rank, Retention: a.retention, Heartbeat: o.ServerHeartbeat, Log: o.Log.WithName("mirror"),
		IsRouting: a.IsRouting, IsBackend: a.IsBackend,
	})
}

// retention returns how long an item stays in force that a restored store has lost. A
// configuration does until there is a newer one. Entries of live servers are soon written
// again.
func (a *Adapter) retention(it carobward.Item) time.Duration {
	switch {
	case a.IsRouting(it.Key):
		return carobward.Forever
	case a.IsBackend(it.Key) && !it.Deleted:
		return cwmirror.ReregisterTime
	case a.IsBackend(it.Key):
		return removalRetention
	default:
		return lostItemRetention
	}
}
