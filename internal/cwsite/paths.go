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
	// openers has which entry VM has opened the connections from a port, "" if none has.
	openers map[int]string
	// found is when they were last looked up.
	found time.Time
}

// NewPaths returns paths without faults.
func NewPaths() *Paths {
	return &Paths{faults: map[string]cwstand.ProxyFault{}, openers: map[int]string{}}
}

// Add adds an entry VM that has been started.
func (p *Paths) Add(v *EntryVM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.vms = append(p.vms, v)
}

// Fault implements cwstand.Sources.
func (p *Paths) Fault(c net.Conn) cwstand.ProxyFault {
	asked := time.Now()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if len(p.faults) == 0 { // To find who opened a connection takes a while.
		return cwstand.ProxyPasses
	}

	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return cwstand.ProxyPasses
	}

	// One that was open at the last look-up and was not found has been closed since.
	if _, known := p.openers[a.Port]; !known && p.found.Before(asked) {
		p.findOpeners()
	}

	return p.faults[p.openers[a.Port]]
}

// findOpeners finds out which entry VMs have opened the connections that there are now, all at
// once. The mutex must be held.
func (p *Paths) findOpeners() {
	p.found = time.Now()
	byPID := map[int]string{}

	var pids []int

	for _, v := range p.vms {
		pid := v.Process().PID()
		byPID[pid] = v.ID
		pids = append(pids, pid)
	}

	for port, pid := range cwtest.PortOwners(pids) {
		p.openers[port] = byPID[pid]
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
