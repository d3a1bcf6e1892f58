// Package cwsite starts entry VMs of the users' platform as separate processes,
// with a stand-in of the platform's store, for tests.
package cwsite

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// Gateway is one entry VM of the users' platform, as a process of its own.
type Gateway struct {
	ID      string
	Callers carobward.Address
	Ready   carobward.Address
	Lookup  carobward.Address
	// Settings is the path of its settings file.
	Settings string

	mutex   sync.Mutex
	process *cwtest.Process
}

// Process returns its present process.
func (g *Gateway) Process() *cwtest.Process {
	g.mutex.Lock()
	defer g.mutex.Unlock()

	return g.process
}

// IsReady tells whether it says that it takes callers.
func (g *Gateway) IsReady() bool {
	status, _, err := fasthttp.Get(nil, "http://"+string(g.Ready)+platform.PathReady)

	return err == nil && status == fasthttp.StatusOK
}

// Site is a set of entry VMs with a stand-in of the platform's store.
type Site struct {
	// Store is the stand-in, StoreProxy what stands before it.
	Store      *cwstand.Metadata
	StoreProxy *cwstand.Proxy
	All        []*Gateway

	program string
	net     int
	grace   string
}

// The ports of each entry VM on its own loopback address.
const (
	portCallers = 8161 + iota
	portReady
	portPeers
	portLookup
	// portClaim is held by who uses a loopback network.
	portClaim
)

// The loopback networks 127.NET.0.0 that sites may use.
const (
	netFirst = 60
	netLast  = 250
)

// claim returns a loopback network that no other site uses, of this process or another one,
// until the test ends.
func claim(t testing.TB) int {
	t.Helper()

	for n := netFirst; n <= netLast; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.254:%d", n, portClaim))
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })

			return n
		}
	}

	t.Fatal("no loopback network is free")

	return 0
}

// New builds the program and starts a store. Entry VMs are on the
// loopback addresses 127.NET.0.1 and up of a network of its own.
func New(t testing.TB, grace string) *Site {
	t.Helper()

	g := &Site{Store: cwstand.NewMetadata(), program: cwtest.Build(t, "cmd/cwgateway"), net: claim(t), grace: grace}
	address := cwtest.Serve(t, g.Store.Serve, g.Store.Stop)
	g.StoreProxy = cwstand.NewProxy(cwtest.Listen(t), address)
	t.Cleanup(g.StoreProxy.Close)

	return g
}

// Start starts one more entry VM.
func (g *Site) Start(t testing.TB) *Gateway {
	t.Helper()

	n := len(g.All) + 1
	ip := fmt.Sprintf("127.%d.0.%d", g.net, n)
	at := func(port int) carobward.Address { return carobward.Address(net.JoinHostPort(ip, fmt.Sprint(port))) }
	v := &Gateway{ID: fmt.Sprintf("vm-%d", n), Callers: at(portCallers), Ready: at(portReady), Lookup: at(portLookup)}

	text := fmt.Sprintf(`
[self]
node = %q
zone = "zone-%d"
[network]
seeds = ["127.%d.0.1:%d", "127.%d.0.2:%d"]
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[platform]
heartbeat = "1500ms"
[platform.platform]
address = %q
[terms.bounds]
grace = %q
ttl_max = "5s"
retry_budget_ratio = 0.2
retry_window = "10s"
retry_min_extra = 64
probes_per_s = 60
warmup_overshoot = 1.5
warmup_slack = 8
`, v.ID, n%3, g.net, portPeers, g.net, portPeers, v.Callers, v.Ready, at(portPeers), v.Lookup, g.StoreProxy.Address(), g.grace)

	v.Settings = filepath.Join(t.TempDir(), v.ID+".toml")

	const private = 0o600
	if err := os.WriteFile(v.Settings, []byte(text), private); err != nil {
		t.Fatal(err)
	}

	g.All = append(g.All, v)
	g.Restart(t, v)

	return v
}

// Restart starts an entry VM whose process has ended, or had none.
func (g *Site) Restart(t testing.TB, v *Gateway) {
	t.Helper()

	v.mutex.Lock()
	defer v.mutex.Unlock()

	v.process = cwtest.StartWith(t, []string{"CAROBWARD_BOOT=" + v.Settings}, g.program)
}
