package cwstand

import (
	"encoding/json"
	"maps"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Faults are the faults that the platform injects.
type Faults struct {
	// Down closes each connection to the key-value service without a reply.
	Down bool `json:"down"`
	// Slow delays each call of the key-value service.
	Slow carobward.Duration `json:"slow"`
	// LoseAfter is the number of writes that take effect without a reply.
	LoseAfter int `json:"lose_after"`
	// LoseBefore is the number of writes that have neither an effect nor a reply.
	LoseBefore int `json:"lose_before"`
	// ThenDown sets Down when LoseAfter drops a reply.
	ThenDown bool `json:"then_down"`
	// ListLags freezes the VM list at its state when the fault began.
	ListLags bool `json:"list_lags"`
	// ListDown closes each connection to the VM list without a reply.
	ListDown bool `json:"list_down"`
}

// StoreCounts counts the calls of the key-value service.
type StoreCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Waiting is the current number of blocked watches.
	Waiting int `json:"waiting"`
	// ReadBytes is the total size of the values returned.
	ReadBytes uint64 `json:"read_bytes"`
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if f.ListLags && !p.faults.ListLags {
		p.lagging = p.vms
	}

	p.faults = f
	p.wake()
}

// Counts returns the number of calls so far.
func (p *Platform) Counts() StoreCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.counts
}

// Save takes a backup of all values.
func (p *Platform) Save() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.saved = maps.Clone(p.values)
}

// Restore restores the values of the last Save, like a service restored from a
// backup. The values get back their old indexes; later writes continue from the
// highest index given out so far.
func (p *Platform) Restore() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.values = maps.Clone(p.saved)
	if p.values == nil {
		p.values = map[string]value{}
	}

	p.wake()
}

// control serves the paths that control the stand-in. It reports whether the
// path is one of them.
func (p *Platform) control(ctx *fasthttp.RequestCtx, path string) bool {
	switch {
	case path == FaultsPath && ctx.IsPut():
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)

			return true
		}

		p.SetFaults(f)
	case path == StoreCountsPath && ctx.IsGet():
		writeJSON(ctx, p.Counts())
	case path == SavePath && ctx.IsPost():
		p.Save()
	case path == RestorePath && ctx.IsPost():
		p.Restore()
	default:
		return false
	}

	return true
}

// dropConnection closes the connection without a reply.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *Platform) countCall(write, watch bool) Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	switch {
	case write:
		p.counts.Writes++
	case watch:
		p.counts.Watches++
	default:
		p.counts.Reads++
	}

	return p.faults
}

func (p *Platform) isDown() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.faults.Down
}

func (p *Platform) addWaiting(by int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.counts.Waiting += by
}

func (p *Platform) sleep(d time.Duration) {
	if d <= 0 {
		return
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-p.done:
	}
}
