package cwstand

import (
	"encoding/json"
	"maps"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Faults are what goes wrong on the platform from now on.
type Faults struct {
	// Down closes each connection to the key-value service without a reply.
	Down bool `json:"down"`
	// Slow delays each call of the key-value service.
	Slow carobward.Duration `json:"slow"`
	// LoseAfter is how many writes take effect while their reply is lost.
	LoseAfter int `json:"lose_after"`
	// LoseBefore is how many writes are lost before they take effect.
	LoseBefore int `json:"lose_before"`
	// ThenDown takes the service down after a reply lost by LoseAfter.
	ThenDown bool `json:"then_down"`
	// ListLags keeps the VM list as it was when the fault began.
	ListLags bool `json:"list_lags"`
	// ListDown closes each connection to the VM list without a reply.
	ListDown bool `json:"list_down"`
}

// StoreCounts are the calls of the key-value service so far.
type StoreCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// ReadBytes is the size of all values that were read.
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

// Counts returns the calls so far.
func (p *Platform) Counts() StoreCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.counts
}

// Save remembers all values.
func (p *Platform) Save() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.saved = maps.Clone(p.values)
}

// Older brings the remembered values back, as a service that was restored
// from a copy. Their indexes are the ones of then; new writes go on above.
func (p *Platform) Older() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.values = maps.Clone(p.saved)
	if p.values == nil {
		p.values = map[string]value{}
	}

	p.wake()
}

// control serves the calls that set faults. It tells whether it did.
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
	case path == OlderPath && ctx.IsPost():
		p.Older()
	default:
		return false
	}

	return true
}

// cut closes the connection without a reply.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *Platform) count(write, watch bool) Faults {
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

func (p *Platform) refused() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.faults.Down
}

func (p *Platform) waiting(by int) {
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
