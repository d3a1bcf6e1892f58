package cwlink

import "time"

// fleetSizeTTL is how long a larger fleet size stays effective after it was last
// seen, since entry VMs that are only unreachable from here keep their connections.
const fleetSizeTTL = time.Minute

// fleet holds the largest recent number of entry VMs.
type fleet struct {
	size int
	seen time.Time
}

func (f *fleet) set(size int, now time.Time) {
	if size >= f.size || now.Sub(f.seen) >= fleetSizeTTL {
		f.size, f.seen = size, now
	}
}

// SetFleet sets the number of entry VMs that share the connections of each
// server. Each entry VM gets an equal share of at least one connection.
func (l *Link) SetFleet(size int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.fleet.set(size, now)
	l.updateShare()
}

// SetConns sets the number of connections that one server accepts from all
// entry VMs together.
func (l *Link) SetConns(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.options.MaxConns = n
	l.updateShare()
}

// updateShare recomputes this entry VM's share of the connections to each
// server. The caller holds the mutex.
func (l *Link) updateShare() {
	l.share.Store(int64(max(1, l.options.MaxConns/max(1, l.fleet.size))))
}

// maxConns returns the maximum number of connections from this entry VM to one
// server.
func (l *Link) maxConns() int { return int(l.share.Load()) }
