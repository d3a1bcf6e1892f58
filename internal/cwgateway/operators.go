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

// pathQuarantine has the requests under which servers ended. DELETE of one of them by
// its print ends its quarantine.
const pathQuarantine = "/quarantine"

// pathStatus has what this entry VM believes now.
const pathStatus = "/status"

// serveOperators answers the operators: the metrics, by any path but these.
func (g *Gateway) serveOperators(ctx *fasthttp.RequestCtx) {
	text, isPrint := strings.CutPrefix(string(ctx.Path()), pathQuarantine+"/")

	switch {
	case isPrint && ctx.IsDelete():
		g.lift(ctx, text)
	case string(ctx.Path()) == pathQuarantine && ctx.IsGet():
		g.listQuarantine(ctx)
	case string(ctx.Path()) == pathStatus && ctx.IsGet():
		g.writeStatus(ctx)
	case isPrint, string(ctx.Path()) == pathQuarantine, string(ctx.Path()) == pathStatus:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(g.metrics.String())
	}
}

// suspect is one request under which servers ended, as operators see it.
type suspect struct {
	// Print names the request, and Request says what it is.
	Print   string              `json:"print"`
	Request string              `json:"request"`
	Caller  string              `json:"caller"`
	Route   carobward.RouteName `json:"route"`
	Service carobward.Service   `json:"service"`
	// Held tells that it is not sent, Wait for how long at least.
	Held bool   `json:"held"`
	Wait string `json:"wait,omitempty"`
	// Trials is how often it was sent all the same to find out whether servers bear
	// it now.
	Trials  int     `json:"trials"`
	Crashes []ended `json:"crashes"`
}

// ended is the end of one server under a request.
type ended struct {
	Server carobward.Instance `json:"server"`
	At     time.Time          `json:"at"`
	VM     carobward.VMID     `json:"vm"`
}

func (g *Gateway) listQuarantine(ctx *fasthttp.RequestCtx) {
	list := []suspect{}

	for _, e := range g.suspects.List(g.Clock.Now()) {
		list = append(list, suspectOf(&e))
	}

	g.writeOperators(ctx, list)
}

// writeOperators writes what operators asked for.
func (g *Gateway) writeOperators(ctx *fasthttp.RequestCtx, what any) {
	raw, err := json.Marshal(what)
	if err != nil {
		g.log.Error(err, "An answer to the operators could not be encoded.", "path", string(ctx.Path()))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// status is what one entry VM believes now.
type status struct {
	VM     carobward.VMID   `json:"vm"`
	Domain carobward.Domain `json:"domain"`
	Ready  bool             `json:"ready"`
	// Version is the configuration in force, 0 before there is one.
	Version carobward.Version `json:"version"`
	// Index is how far its copy of the store is, Age how old the store's last word is.
	Index carobward.StoreIndex `json:"index"`
	Age   string               `json:"age"`
	// Servers is the number of servers, Fleet that of the entry VMs that share bounds.
	Servers int `json:"servers"`
	Fleet   int `json:"fleet"`
	// Evacuated has the failure domains whose servers get nothing.
	Evacuated []evacuation `json:"evacuated"`
	// Limited has the servers that name how many requests a second they take.
	Limited []limited `json:"limited"`
}

func (g *Gateway) writeStatus(ctx *fasthttp.RequestCtx) {
	now := g.Clock.Now()
	s := status{
		VM: g.Self.ID, Domain: g.Self.Domain, Ready: g.isReady(), Index: g.mirror.State().Index,
		Age:     now.Sub(g.mesh.Fresh()).Round(time.Millisecond).String(),
		Servers: g.servers.Count(), Fleet: g.table.Size(now), Evacuated: g.evacuations(), Limited: g.limits(now),
	}

	if t := g.front.Routes(); t != nil {
		s.Version = t.Version
	}

	g.writeOperators(ctx, s)
}

func suspectOf(e *cwquarantine.Entry) suspect {
	last := &e.Crashes[len(e.Crashes)-1]
	s := suspect{
		Print: e.Fingerprint.String(), Request: last.Request, Caller: last.Caller, Route: last.Route, Service: last.Service,
		Held: e.Quarantined, Trials: e.Trials,
	}

	if e.Quarantined {
		s.Wait = e.Wait.Round(time.Second).String()
	}

	for i := range e.Crashes {
		c := &e.Crashes[i]
		s.Crashes = append(s.Crashes, ended{c.Server, c.At, c.VM})
	}

	return s
}

// lift ends the quarantine of a request everywhere. It is answered once the store has
// it.
func (g *Gateway) lift(ctx *fasthttp.RequestCtx, text string) {
	p, err := cwquarantine.ParseFingerprint(text)
	if err == nil {
		err = g.keeper.Lift(p)
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
