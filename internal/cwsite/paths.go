package cwsite

import (
	"net"
	"sync"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// Paths are the network paths from entry VMs to servers. It implements cwstand.Sources.
type Paths struct {
	mutex  sync.Mutex
	vms    []*EntryVM
	faults map[string]cwstand.ProxyFault
	// openers has which entry VM has opened a connection, "" if none has.
	openers map[net.Conn]string

	// scan guards a look-up of the connections that all entry VMs have open. Found is when the last
	// one began, and owners what it found, by port.
	scan   sync.Mutex
	found  time.Time
	owners map[int]string
}

// NewPaths returns paths without faults.
func NewPaths() *Paths {
	return &Paths{faults: map[string]cwstand.ProxyFault{}, openers: map[net.Conn]string{}}
}

// Add adds an entry VM that has been started.
func (p *Paths) Add(v *EntryVM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.vms = append(p.vms, v)
}

// Fault implements cwstand.Sources.
func (p *Paths) Fault(c net.Conn) cwstand.ProxyFault {
	p.mutex.Lock()
	opener, known := p.openers[c]
	faults := len(p.faults)
	p.mutex.Unlock()

	if faults == 0 { // To find who opened a connection takes a while.
		return cwstand.ProxyPasses
	}

	if !known {
		opener = p.findOpener(c)
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.openers[c] = opener

	return p.faults[opener]
}

// findOpener returns which entry VM has opened a connection, or "". One look-up serves all connections
// that wait for it. Nothing else waits meanwhile.
func (p *Paths) findOpener(c net.Conn) string {
	asked := time.Now()

	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}

	p.scan.Lock()
	defer p.scan.Unlock()

	if p.found.Before(asked) {
		p.findOpeners()
	}

	return p.owners[a.Port]
}

// findOpeners finds out which entry VMs have opened the connections that there are now. The caller must
// hold scan.
func (p *Paths) findOpeners() {
	p.found = time.Now()
	p.owners = map[int]string{}
	byPID := map[int]string{}

	var pids []int

	p.mutex.Lock()
	for _, v := range p.vms {
		pid := v.Process().PID()
		byPID[pid] = v.ID
		pids = append(pids, pid)
	}
	p.mutex.Unlock()

	for port, pid := range cwtest.PortOwners(pids) {
		p.owners[port] = byPID[pid]
	}
}

// Cut gives all paths of an entry VM a fault. ProxyPasses mends them.
func (p *Paths) Cut(v *EntryVM, f cwstand.ProxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.faults[v.ID] = f
}

// Mend mends all paths.
func (p *Paths) Mend() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	clear(p.faults)
	clear(p.openers)
}
