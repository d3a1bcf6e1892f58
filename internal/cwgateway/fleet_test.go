package cwgateway_test

import (
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
	host     = "club.example"
	reading  = "/sheets/"
	charging = "/fees/"
)

// fleet is a store, servers and entry VMs on loopback.
type fleet struct {
	store   *cwstand.MetadataStore
	address carobward.Address
	version int

	mutex sync.Mutex
	vms   []*vm
}

// vm is one entry VM that runs.
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

// safe is the route of idempotent requests.
func safe(service string) cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": reading, "kind": "safe", "service": service}
}

// unsafe is the route of requests that may run once at most.
func unsafe() cwstand.MetadataRoute {
	return cwstand.MetadataRoute{"prefix": charging, "kind": "unsafe", "service": "fees"}
}

// configure writes the next configuration.
func (f *fleet) configure(routes ...cwstand.MetadataRoute) {
	f.version += 3
	f.store.Put("op/config", cwstand.MetadataConfig(f.version, host, routes...))
}

// The ports that entry VMs of tests listen on: below those that a kernel gives to
// connections, one of which would otherwise take a port between the moment at
// which it was found free and the start of the entry VM.
const (
	portFirst = 10_000
	portCount = 20_000
)

// ports has the addresses that were given out.
var ports sync.Map

// free returns an address that is free for TCP and UDP.
func free(t *testing.T) carobward.Address {
	t.Helper()

	for {
		address := fmt.Sprintf("127.0.0.1:%d", portFirst+rand.IntN(portCount))
		if _, drawn := ports.LoadOrStore(address, true); drawn {
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

// options returns those of an entry VM, with addresses of its own.
func (f *fleet) options(t *testing.T, id string) cwgateway.Options {
	t.Helper()

	return cwgateway.Options{
		Self:  cwmesh.Node{ID: carobward.VMID(id), Domain: "a", Callers: free(t), Peers: free(t)},
		Ready: free(t), Lookup: free(t), Metrics: free(t),
		Bounds: cwgateway.Bounds{
			Grace: 400 * time.Millisecond, AnswerMost: 5 * time.Second, ColdOvershoot: 1.5, ColdSlack: 8,
			Limits: cwfront.Limits{ExtraShare: 0.2, ExtraWindow: 10 * time.Second, ExtraMin: 64, ChecksPerSecond: 60},
		},
		Adapter: platform.Adapter(f.address, func() {}), Dropped: func() int64 { return 0 }, Calls: func() int64 { return 0 }, Clock: carobward.SystemClock{},
		Suspended: func() time.Duration { return 0 }, Pending: func() time.Duration { return 0 }, Log: logr.Discard(),
	}
}

// start starts an entry VM that knows the first one.
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

// end stops an entry VM and waits for its end.
func (v *vm) end() {
	v.once.Do(func() { close(v.stop) })
	<-v.done
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}

// ask sends one request.
func (v *vm) ask(method, path, id, body string) answer {
	return v.askWithin(method, path, id, body, 3000)
}

func (v *vm) askWithin(method, path, id, body string, ms int) answer {
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

// isReady tells whether an entry VM says that it is ready.
func (v *vm) isReady() bool { return get(v.options.Ready, platform.PathReady).status == http.StatusOK }

// waitReady waits until an entry VM is ready.
func (v *vm) waitReady(t *testing.T) {
	t.Helper()
	cwtest.Wait(t, "ready", v.isReady)
}
