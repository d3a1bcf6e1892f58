package cwgateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

const (
	host       = "club.example"
	readPath   = "/sheets/"
	chargePath = "/fees/"
)

// fleet is a store, servers and entry VMs on loopback.
type fleet struct {
	store   *cwstand.MetadataStore
	address carobward.Address
	version int

	mutex sync.Mutex
	vms   []*vm
}

// vm is a running entry VM.
type vm struct {
	options cwgateway.Options
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newFleet(t *testing.T) *fleet {
	t.Helper()

	f := &fleet{store: cwstand.NewMetadataStore()}
	f.address = cwtest.Serve(t, f.store.Serve, f.store.Stop)

	return f
}

// upstream starts a server and registers it.
func (f *fleet) upstream(t *testing.T, service, instance string) *cwstand.Upstream {
	t.Helper()

	u := cwstand.NewUpstream(cwtest.Listen(t), carobward.Instance(instance))
	t.Cleanup(u.Close)
	f.register(service, instance, u.Address(), "ready")

	return u
}

func (f *fleet) register(service, instance string, at carobward.Address, state string) {
	f.store.Put("servers/"+instance, cwstand.ServerEntry(carobward.Service(service), at, "a", state))
}

// safeRoute returns the route of idempotent requests.
func safeRoute(service string) cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": readPath, "kind": "safe", "service": service}
}

// unsafeRoute returns the route of requests that may run at most once.
func unsafeRoute() cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": chargePath, "kind": "unsafe", "service": "fees"}
}

// configure writes the next version of the configuration.
func (f *fleet) configure(routes ...cwstand.MetadataRoute) {
	f.version += 3
	f.store.Put("op/config", cwstand.MetadataConfig(f.version, host, routes...))
}

// Ports of the entry VMs of tests. They are below the kernel's ephemeral ports: a connection
// could otherwise take a port between the check that it is free and the start of the entry VM.
const (
	firstPort = 10_000
	portCount = 20_000
)

// usedAddresses has the addresses that freeAddress has returned or rejected.
var usedAddresses sync.Map

// freeAddress returns an address whose port is free for TCP and UDP.
func freeAddress(t *testing.T) carobward.Address {
	t.Helper()

	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, drawn := usedAddresses.LoadOrStore(address, true); drawn {
			continue // Another entry VM of these tests may be about to listen there.
		}

		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}

		_ = ln.Close()

		if c, err := net.ListenPacket("udp", address); err == nil {
			_ = c.Close()

			return carobward.Address(address)
		}
	}
}

// startedLongAgo lets an entry VM make extra calls as one that has run for long: a process has
// few of them in its first window.
func startedLongAgo(o *cwgateway.Options) { o.Limits.ExtraWindow = time.Millisecond }

// options returns the options of an entry VM with addresses of its own.
func (f *fleet) options(t *testing.T, id string) cwgateway.Options {
	t.Helper()

	return cwgateway.Options{
		Self:  cwmesh.Node{ID: carobward.VMID(id), Domain: "a", Callers: freeAddress(t), Peers: freeAddress(t), Relay: freeAddress(t)},
		Ready: freeAddress(t), Lookup: freeAddress(t), Metrics: freeAddress(t),
		Bounds: cwgateway.Bounds{
			Grace: 400 * time.Millisecond, MaxLookupTTL: 5 * time.Second, WarmupOvershoot: 1.5, WarmupSlack: 8,
			Limits: cwfront.Limits{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraMin: 64, ChecksPerSecond: 60},
		},
		Adapter: platform.Adapter(f.address, func() {}), DroppedLines: func() int64 { return 0 }, StoreCalls: func() int64 { return 0 }, Clock: carobward.SystemClock{},
		Suspended: func() time.Duration { return 0 }, PendingSuspension: func() time.Duration { return 0 }, Log: logr.Discard(),
	}
}

// start starts an entry VM with the first one of the fleet as its seed.
func (f *fleet) start(t *testing.T, id string, change ...func(*cwgateway.Options)) *vm {
	t.Helper()

	o := f.options(t, id)

	f.mutex.Lock()
	if len(f.vms) > 0 {
		o.Seeds = []carobward.Address{f.vms[0].options.Self.Peers}
	}
	f.mutex.Unlock()

	for _, c := range change {
		c(&o)
	}

	g, err := cwgateway.New(o)
	if err != nil {
		t.Fatal(err)
	}

	v := &vm{options: o, stop: make(chan struct{}), done: make(chan struct{})}

	go func() {
		defer close(v.done)

		if err := g.Run(v.stop); err != nil {
			t.Error(err)
		}
	}()

	f.mutex.Lock()
	f.vms = append(f.vms, v)
	f.mutex.Unlock()

	t.Cleanup(v.end)

	return v
}

// end stops an entry VM and waits until it has stopped.
func (v *vm) end() {
	v.once.Do(func() { close(v.stop) })
	<-v.done
}

// answer is what a caller received.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}

// send sends one request with a timeout of 3 s.
func (v *vm) send(method, path, id, body string) answer {
	return v.sendWithin(method, path, id, body, 3000)
}

func (v *vm) sendWithin(method, path, id, body string, ms int) answer {
	req, err := http.NewRequest(method, "http://"+string(v.options.Self.Callers)+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}

	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(ms))

	return do(req)
}

func do(req *http.Request) answer {
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}

	defer func() { _ = resp.Body.Close() }()

	raw, err := io.ReadAll(resp.Body)

	return answer{status: resp.StatusCode, body: string(raw), header: resp.Header, err: err}
}

func get(address carobward.Address, path string) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return answer{err: err}
	}

	return do(req)
}

// isReady reports whether an entry VM announces itself as ready.
func (v *vm) isReady() bool { return get(v.options.Ready, platform.PathReady).status == http.StatusOK }

// extraAvailable returns how many extra calls an entry VM may make at once for a service, or 0
// before its first request.
func (v *vm) extraAvailable(t *testing.T, s carobward.Service) float64 {
	t.Helper()

	var all struct {
		Extra map[carobward.Service]struct {
			Available float64 `json:"available"`
		} `json:"extra"`
	}

	if err := json.Unmarshal([]byte(get(v.options.Metrics, "/metrics").body), &all); err != nil {
		t.Fatal(err)
	}

	return all.Extra[s].Available
}

// waitReady waits until an entry VM is ready.
func (v *vm) waitReady(t *testing.T) {
	t.Helper()
	cwtest.Wait(t, "ready", v.isReady)
}
