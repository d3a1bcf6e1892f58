// Package cwsite lets tests start entry VMs of the users' platform as separate
// processes, with a stand-in for the platform's metadata store.
package cwsite

import (
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

// EntryVM is an entry VM of the users' platform, which runs in a process of its own.
type EntryVM struct {
	ID      string
	Callers carobward.Address
	Ready   carobward.Address
	Lookup  carobward.Address
	// Relay is where it serves requests that other entry VMs pass on, Peers their messages, and Metrics
	// its own figures.
	Relay   carobward.Address
	Peers   carobward.Address
	Metrics carobward.Address
	// Settings is the path of its settings file.
	Settings string

	mutex   sync.Mutex
	process *cwtest.Process
}

// Process returns the entry VM's current process.
func (v *EntryVM) Process() *cwtest.Process {
	v.mutex.Lock()
	defer v.mutex.Unlock()

	return v.process
}

// readyTimeout is how long an answer of the readiness endpoint is waited for.
const readyTimeout = time.Second

// IsReady reports whether the readiness endpoint answers with status 200.
func (v *EntryVM) IsReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+string(v.Ready)+platform.PathReady, readyTimeout)

	return err == nil && status == fasthttp.StatusOK
}

// Site is a set of entry VMs with a stand-in for the platform's metadata store.
type Site struct {
	// Store is the stand-in, StoreProxy the proxy through which entry VMs reach it.
	Store      *cwstand.MetadataStore
	StoreProxy *cwstand.Proxy
	VMs        []*EntryVM
	// Memory is the memory limit of the entry VMs that are started from now on, 0 for none.
	Memory carobward.ByteCount

	program string
	network int
	grace   string
}

// The limit on calls beyond the first of each request: in each window a share of the requests, and
// a fixed number.
const (
	RetryShare    = 0.2
	RetryWindow   = 10 * time.Second
	RetryMinExtra = 64
)

// The ports of each entry VM on its loopback address.
const (
	portCallers = 8161 + iota
	portReady
	portPeers
	portLookup
	portRelay
	// portReservation is the port whose listener reserves a loopback network.
	portReservation
)

// portMetrics is the port of the metrics, which is the same on all VMs.
const portMetrics = 9464

// The range of the loopback networks 127.NET.0.0 that sites use.
const (
	minNetwork = 160
	maxNetwork = 250
)

// reserveNetwork reserves a loopback network until the test ends and returns its number. No other
// site uses the network meanwhile, in this process or in another one.
func reserveNetwork(t testing.TB) int {
	t.Helper()

	for n := minNetwork; n <= maxNetwork; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.254:%d", n, portReservation))
		if err == nil {
			t.Cleanup(func() { _ = ln.Close() })

			return n
		}
	}

	t.Fatal("no loopback network is free")

	return 0
}

// New builds cmd/cwgateway and starts a store. The argument grace is the setting
// terms.bounds.grace of all entry VMs. The entry VMs get the addresses 127.NET.0.1
// and up in a loopback network reserved for the site.
func New(t testing.TB, grace string) *Site {
	t.Helper()

	s := &Site{Store: cwstand.NewMetadataStore(), program: cwtest.Build(t, "cmd/cwgateway"), network: reserveNetwork(t), grace: grace}
	address := cwtest.Serve(t, s.Store.Serve, s.Store.Stop)
	s.StoreProxy = cwstand.NewProxy(cwtest.Listen(t), address)
	t.Cleanup(s.StoreProxy.Close)

	return s
}

// Key returns the key with which the site's entry VMs authenticate to each other.
func (s *Site) Key() cwpeer.Key {
	key := sha256.Sum256([]byte("carobward " + string(s.StoreProxy.Address())))

	return key[:]
}

// Start starts another entry VM.
func (s *Site) Start(t testing.TB) *EntryVM {
	t.Helper()

	n := len(s.VMs) + 1
	ip := fmt.Sprintf("127.%d.0.%d", s.network, n)
	at := func(port int) carobward.Address { return carobward.Address(net.JoinHostPort(ip, fmt.Sprint(port))) }
	v := &EntryVM{ID: fmt.Sprintf("vm-%d", n), Callers: at(portCallers), Ready: at(portReady), Lookup: at(portLookup), Relay: at(portRelay), Peers: at(portPeers), Metrics: at(portMetrics)}

	limits := ""
	if s.Memory > 0 {
		limits = fmt.Sprintf("[self.limits]\nmemory_mb = %d\n", s.Memory/carobward.Megabyte)
	}

	text := fmt.Sprintf(`
[self]
node = %q
zone = "zone-%d"
%s[network]
internal_ports = [%d, %d]
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
retry_budget_ratio = %v
retry_window = "%s"
retry_min_extra = %d
probes_per_s = 60
warmup_overshoot = 1.5
warmup_slack = 8
`, v.ID, n%3, limits, portRelay, portRelay, s.network, portPeers, s.network, portPeers, v.Callers, v.Ready, v.Peers, v.Lookup, s.StoreProxy.Address(), s.grace, RetryShare, RetryWindow, RetryMinExtra)

	v.Settings = filepath.Join(t.TempDir(), v.ID+".toml")

	const private = 0o600
	if err := os.WriteFile(v.Settings, []byte(text), private); err != nil {
		t.Fatal(err)
	}

	s.VMs = append(s.VMs, v)
	s.Restart(t, v)

	return v
}

// Restart starts the process of an entry VM that has none or whose last one has exited.
func (s *Site) Restart(t testing.TB, v *EntryVM) {
	t.Helper()

	v.mutex.Lock()
	defer v.mutex.Unlock()

	v.process = cwtest.StartWithEnv(t, []string{"CAROBWARD_BOOT=" + v.Settings}, s.program)
}
