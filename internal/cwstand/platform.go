// Package cwstand has small stand-ins for what carobward is used with: the
// platform (key-value service and VM list), backend servers and callers.
// They are for tests, the demo and experiments.
package cwstand

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwvm"
)

// ListPath is where the platform serves its VM list.
const ListPath = "/vms"

const kvPath = "/v1/kv/"

// Platform is a stand-in for the platform: the Consul KV HTTP API in part
// (one key a read, check-and-set, blocking queries) and a VM list.
type Platform struct {
	mutex   sync.Mutex
	index   uint64
	values  map[string]value
	changed chan struct{}
	vms     []carobward.VM

	server *fasthttp.Server
	ln     net.Listener
}

type value struct {
	bytes []byte
	index uint64
}

// NewPlatform returns a platform that serves on the listener.
func NewPlatform(ln net.Listener) *Platform {
	p := &Platform{index: 1, values: map[string]value{}, changed: make(chan struct{}), ln: ln}
	p.server = &fasthttp.Server{Handler: p.handle, MaxRequestBodySize: 2 << 20, CloseOnShutdown: true}

	go func() { _ = p.server.Serve(ln) }()

	return p
}

// URL is the base of the platform's services.
func (p *Platform) URL() string { return "http://" + p.ln.Addr().String() }

// Close stops serving.
func (p *Platform) Close() { _ = p.ln.Close() }

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []carobward.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.vms = append([]carobward.VM(nil), vms...)
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())

	switch {
	case path == ListPath && ctx.IsPut():
		p.setList(ctx)
	case path == ListPath:
		p.list(ctx)
	case strings.HasPrefix(path, kvPath) && ctx.IsGet():
		p.get(ctx, strings.TrimPrefix(path, kvPath))
	case strings.HasPrefix(path, kvPath) && ctx.IsPut():
		p.put(ctx, strings.TrimPrefix(path, kvPath))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	groups := []cwvm.Group{}
	for _, v := range p.vms {
		groups = append(groups, cwvm.Group{
			Targets: []carobward.Address{v.Address},
			Labels:  cwvm.Labels{Service: v.Service, Domain: v.Domain, VM: v.ID, State: v.State.String()},
		})
	}

	writeJSON(ctx, groups)
}

func (p *Platform) setList(ctx *fasthttp.RequestCtx) {
	vms, err := cwvm.Parse(ctx.PostBody())
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

func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("index")), 10, 64)
	wait, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))

	if err == nil {
		p.await(key, after, wait)
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	v, ok := p.values[key]
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(max(v.index, 1), 10))

	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)

		return
	}

	writeJSON(ctx, []map[string]any{{
		"Key":         key,
		"Value":       base64.StdEncoding.EncodeToString(v.bytes),
		"ModifyIndex": v.index,
	}})
}

// await blocks until the key's index passes after, for at most wait.
func (p *Platform) await(key string, after uint64, wait time.Duration) {
	end := time.After(wait)

	for {
		p.mutex.Lock()
		passed, changed := p.values[key].index > after, p.changed
		p.mutex.Unlock()

		if passed {
			return
		}

		select {
		case <-changed:
		case <-end:
			return
		}
	}
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	base, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("cas")), 10, 64)
	if err != nil {
		ctx.Error("want cas", fasthttp.StatusBadRequest)

		return
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.values[key].index != base {
		ctx.SetBodyString("false")

		return
	}

	p.index++
	p.values[key] = value{bytes: append([]byte(nil), ctx.PostBody()...), index: p.index}

	close(p.changed)
	p.changed = make(chan struct{})

	ctx.SetBodyString("true")
}
