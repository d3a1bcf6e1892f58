package cwstand

import (
	"net"
	"sync"

	"carobward.example/carobward"
)

// Paths are the network paths from one entry VM to the servers: a proxy for each server
// that the entry VM uses. A fault of the paths leaves those of other entry VMs as they are.
type Paths struct {
	listen func() net.Listener

	mutex   sync.Mutex
	fault   ProxyFault
	proxies map[carobward.Address]*Proxy
}

// NewPaths returns paths without a fault, whose proxies listen where listen says.
func NewPaths(listen func() net.Listener) *Paths {
	return &Paths{listen: listen, proxies: map[carobward.Address]*Proxy{}}
}

// To returns the address by which the entry VM reaches a server.
func (p *Paths) To(server carobward.Address) carobward.Address {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	x := p.proxies[server]
	if x == nil {
		x = NewProxy(p.listen(), server)
		x.SetFault(p.fault)
		p.proxies[server] = x
	}

	return x.Address()
}

// SetFault sets the fault of the paths to all servers, now and later. ProxyPasses removes it.
func (p *Paths) SetFault(f ProxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.fault = f
	for _, x := range p.proxies {
		x.SetFault(f)
	}
}

// SetFaultTo sets the fault of the path to one server.
func (p *Paths) SetFaultTo(server carobward.Address, f ProxyFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if x := p.proxies[server]; x != nil {
		x.SetFault(f)
	}
}

// Close closes all proxies.
func (p *Paths) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for _, x := range p.proxies {
		x.Close()
	}
}
