package cwgateway

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// pathQuarantine lists the requests that servers were running when they crashed. DELETE of
// one of them, by its fingerprint, ends its quarantine.
const pathQuarantine = "/quarantine"

// pathStatus shows the current state of this entry VM.
const pathStatus = "/status"

// serveOperators answers operators: the metrics on any path but those above.
func (g *Gateway) serveOperators(ctx *fasthttp.RequestCtx) {
	fingerprint, isFingerprint := strings.CutPrefix(string(ctx.Path()), pathQuarantine+"/")

	switch {
	case isFingerprint && ctx.IsDelete():
		g.lift(ctx, fingerprint)
	case string(ctx.Path()) == pathQuarantine && ctx.IsGet():
		g.listQuarantine(ctx)
	case string(ctx.Path()) == pathStatus && ctx.IsGet():
		g.writeStatus(ctx)
	case isFingerprint, string(ctx.Path()) == pathQuarantine, string(ctx.Path()) == pathStatus:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(g.metrics.String())
	}
}

// quarantineEntry is a request that servers were running when they crashed, as shown to operators.
type quarantineEntry struct {
	// Fingerprint identifies the request, Request describes it.
	Fingerprint string              `json:"print"`
	Request     string              `json:"request"`
	Caller      string              `json:"caller"`
	Route       carobward.RouteName `json:"route"`
	Service     carobward.Service   `json:"service"`
	// Held reports that the request is quarantined, Wait for how long at least.
	Held bool   `json:"held"`
	Wait string `json:"wait,omitempty"`
	// Trials is how often the quarantined request was sent to check whether servers
	// survive it now.
	Trials  int           `json:"trials"`
	Crashes []serverCrash `json:"crashes"`
}

// serverCrash is the crash of one server while it ran a request.
type serverCrash struct {
	Server carobward.Instance `json:"server"`
	At     time.Time          `json:"at"`
	VM     carobward.VMID     `json:"vm"`
}

func (g *Gateway) listQuarantine(ctx *fasthttp.RequestCtx) {
	list := []quarantineEntry{}

	for _, e := range g.quarantine.List(g.Clock.Now()) {
		list = append(list, newQuarantineEntry(&e))
	}

	g.writeJSON(ctx, list)
}

// writeJSON replies to an operator with a value as JSON.
func (g *Gateway) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		g.log.Error(err, "A reply to an operator could not be encoded.", "path", string(ctx.Path()))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// status is the current state of one entry VM.
type status struct {
	VM     carobward.VMID   `json:"vm"`
	Domain carobward.Domain `json:"domain"`
	Ready  bool             `json:"ready"`
	// Version is that of the configuration in force, 0 before the first one.
	Version carobward.Version `json:"version"`
	// Index is the store index of the replica, Age the time since it was known to be current.
	Index carobward.StoreIndex `json:"index"`
	Age   string               `json:"age"`
	// Servers is the number of servers, Fleet the number of entry VMs that share limits.
	Servers int `json:"servers"`
	Fleet   int `json:"fleet"`
	// Evacuated has the failure domains whose servers get no requests.
	Evacuated []evacuation `json:"evacuated"`
	// Limited has the servers that report how many requests a second they accept.
	Limited []limitedServer `json:"limited"`
	// Lost has the services of which this entry VM reaches no server.
	Lost []lostService `json:"lost"`
	// Quota has the teams beyond their quotas of which this entry VM owns token buckets.
	Quota *quotaStatus `json:"quota,omitempty"`
}

func (g *Gateway) writeStatus(ctx *fasthttp.RequestCtx) {
	now := g.Clock.Now()
	s := status{
		VM: g.Self.ID, Domain: g.Self.Domain, Ready: g.isReady(), Index: g.mirror.State().Index,
		Age:     now.Sub(g.mesh.Fresh()).Round(time.Millisecond).String(),
		Servers: g.servers.Count(), Fleet: g.table.Size(now), Evacuated: g.evacuations(), Limited: g.limitedServers(now), Lost: g.lostServices(now),
		Quota: g.quotaStatus(),
	}

	if t := g.front.Routes(); t != nil {
		s.Version = t.Version
	}

	g.writeJSON(ctx, s)
}

func newQuarantineEntry(e *cwquarantine.Entry) quarantineEntry {
	last := &e.Crashes[len(e.Crashes)-1]
	s := quarantineEntry{
		Fingerprint: e.Fingerprint.String(), Request: last.Request, Caller: last.Caller, Route: last.Route, Service: last.Service,
		Held: e.Quarantined, Trials: e.Trials,
	}

	if e.Quarantined {
		s.Wait = e.Wait.Round(time.Second).String()
	}

	for i := range e.Crashes {
		c := &e.Crashes[i]
		s.Crashes = append(s.Crashes, serverCrash{c.Server, c.At, c.VM})
	}

	return s
}

// lift ends the quarantine of a request on all entry VMs. It reports success only once the
// store has the change.
func (g *Gateway) lift(ctx *fasthttp.RequestCtx, fingerprint string) {
	p, err := cwquarantine.ParseFingerprint(fingerprint)
	if err == nil {
		err = g.quarantineKeeper.Lift(p)
	} else {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)

		return
	}

	switch {
	case err == nil:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case errors.Is(err, cwquarantine.ErrNotFound):
		ctx.Error(err.Error()+"\n", fasthttp.StatusNotFound)
	default:
		ctx.Error("it is lifted on this entry VM, the others are told once the store answers: "+err.Error()+"\n", fasthttp.StatusAccepted)
	}
}
