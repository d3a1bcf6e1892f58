// Package cwstand provides stand-ins for the systems around carobward: the
// platform (key-value service and VM list), the users' metadata store, backend
// servers, and proxies that inject faults into connections. Tests, the demo and experiments
// use them.
package cwstand

import (
	"encoding/json"
	"net"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwvmlist"
)

// The paths of the platform, except for those of the key-value service.
const (
	// ListPath serves the VM list and takes a new one by PUT.
	ListPath = "/vms"
	// FaultsPath takes Faults by PUT.
	FaultsPath = "/faults"
	// StoreCountsPath answers GET with StoreCounts.
	StoreCountsPath = "/counts"
	// SavePath takes a POST that calls Save.
	SavePath = "/save"
	// RestorePath takes a POST that restores the saved values.
	RestorePath = "/older"
)

// Platform is a stand-in for the platform. It serves a part of the Consul KV HTTP
// API (single-key reads, check-and-set, blocking queries) and a VM list, and can
// inject faults.
type Platform struct {
	mutex   sync.Mutex
	index   uint64
	values  map[string]value
	saved   map[string]value
	changed chan struct{}
	vms     []carobward.VM
	lagging []carobward.VM
	faults  Faults
	counts  StoreCounts

	server *fasthttp.Server
	ln     net.Listener
	done   chan struct{}
}

// NewPlatform returns a platform that serves on the listener.
func NewPlatform(ln net.Listener) *Platform {
	p := &Platform{
		index:   1,
		values:  map[string]value{},
		changed: make(chan struct{}),
		ln:      ln,
		done:    make(chan struct{}),
	}
	p.server = &fasthttp.Server{Handler: p.handle, MaxRequestBodySize: 2 << 20, CloseOnShutdown: true}

	go func() { _ = p.server.Serve(ln) }()

	return p
}

// URL returns the base URL of the platform's services.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Close stops serving and ends blocking queries.
func (p *Platform) Close() {
	_ = p.ln.Close()

	p.mutex.Lock()
	defer p.mutex.Unlock()

	select {
	case <-p.done:
	default:
		close(p.done)
	}
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []carobward.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.vms = append([]carobward.VM(nil), vms...)
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())

	switch {
	case p.control(ctx, path):
	case path == ListPath && ctx.IsPut():
		p.setList(ctx)
	case path == ListPath:
		p.list(ctx)
	case strings.HasPrefix(path, kvPath) && (ctx.IsGet() || ctx.IsPut()):
		p.keyValue(ctx, strings.TrimPrefix(path, kvPath))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.faults.ListDown {
		dropConnection(ctx)

		return
	}

	vms := p.vms
	if p.faults.ListLags {
		vms = p.lagging
	}

	groups := []cwvmlist.Group{}
	for _, v := range vms {
		groups = append(groups, cwvmlist.Group{
			Targets: []carobward.Address{v.Address},
			Labels:  cwvmlist.Labels{Service: v.Service, Domain: v.Domain, VM: v.ID, State: v.State.String()},
		})
	}

	writeJSON(ctx, groups)
}

func (p *Platform) setList(ctx *fasthttp.RequestCtx) {
	vms, err := cwvmlist.Parse(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)

		return
	}

	p.SetVMs(vms)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
