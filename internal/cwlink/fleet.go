package cwlink

import "time"

// fleetHold is how long a larger fleet counts after it was last seen, since
// entry VMs that are only out of sight still hold their connections.
const fleetHold = time.Minute

// fleet is the largest number of entry VMs seen lately.
type fleet struct {
	size int
	seen time.Time
}

func (f *fleet) set(size int, now time.Time) {
	if size >= f.size || now.Sub(f.seen) >= fleetHold {
		f.size, f.seen = size, now
	}
}

// SetFleet tells how many entry VMs share the servers' connections. Each
// takes an equal part and at least one.
func (l *Link) SetFleet(size int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.fleet.set(size, now)
	l.setShare()
}

// SetConns tells how many connections one server takes from all entry VMs.
func (l *Link) SetConns(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.options.Conns = n
	l.setShare()
}

// setShare sets this entry VM's part; the mutex is held.
func (l *Link) setShare() {
	l.share.Store(int64(max(1, l.options.Conns/max(1, l.fleet.size))))
}

// most returns the most connections to one server.
func (l *Link) most() int { return int(l.share.Load()) }
