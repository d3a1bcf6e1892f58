package cwstand

import (
	"encoding/base64"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const kvPath = "/v1/kv/"

type value struct {
	bytes []byte
	index uint64
}

// keyValue serves one call of the key-value service, subject to the faults.
func (p *Platform) keyValue(ctx *fasthttp.RequestCtx, key string) {
	wait, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	watch := err == nil && ctx.IsGet()

	faults := p.countCall(ctx.IsPut(), watch)
	p.sleep(faults.Slow.Std())

	if p.isDown() {
		dropConnection(ctx)

		return
	}

	if ctx.IsPut() {
		p.put(ctx, key)

		return
	}

	if watch {
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("index")), 10, 64)
		p.await(key, after, wait)
	}

	if p.isDown() {
		dropConnection(ctx)

		return
	}

	p.get(ctx, key)
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	v, ok := p.values[key]
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(max(v.index, 1), 10))

	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)

		return
	}

	p.counts.ReadBytes += uint64(len(v.bytes))

	writeJSON(ctx, []map[string]any{{
		"Key":         key,
		"Value":       base64.StdEncoding.EncodeToString(v.bytes),
		"ModifyIndex": v.index,
	}})
}

// await blocks until the key's index exceeds after, the service goes down, or
// the wait time is over.
func (p *Platform) await(key string, after uint64, wait time.Duration) {
	end := time.After(wait)

	p.addWaiting(1)
	defer p.addWaiting(-1)

	for {
		p.mutex.Lock()
		passed, changed := p.values[key].index > after || p.faults.Down, p.changed
		p.mutex.Unlock()

		if passed {
			return
		}

		select {
		case <-changed:
		case <-end:
			return
		case <-p.done:
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

	if p.faults.LoseBefore > 0 {
		p.faults.LoseBefore--

		dropConnection(ctx)

		return
	}

	if p.values[key].index != base {
		ctx.SetBodyString("false")

		return
	}

	p.index++
	p.values[key] = value{bytes: append([]byte(nil), ctx.PostBody()...), index: p.index}
	p.wake()

	if p.faults.LoseAfter > 0 {
		p.faults.LoseAfter--
		p.faults.Down = p.faults.Down || p.faults.ThenDown

		dropConnection(ctx)

		return
	}

	ctx.SetBodyString("true")
}

// wake makes the waiting watches check their key again. The caller holds the
// mutex.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
