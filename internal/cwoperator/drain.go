package cwoperator

import (
	"encoding/json"
	"net/netip"

	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwserver"
)

// DrainPath is the path to drain a server (POST a Drain) and to list the leaving
// servers (GET).
const DrainPath = "/drain"

// Drain is the request to give a server no new work, or to give it work again.
type Drain struct {
	Address carobward.Address `json:"address"`
	// Undo discards what any source reported about the server's leaving.
	Undo bool `json:"undo,omitempty"`
}

// Leaving is a leaving server with the source that reported it.
type Leaving struct {
	Address carobward.Address `json:"address"`
	// Source is server, health, vm-list or operator.
	Source string `json:"source"`
}

// drainHandlers serve DrainPath.
type drainHandlers struct {
	news    *cwdrain.System
	servers *cwserver.Table
}

// WithDrains adds DrainPath and returns the same API.
func (a *API) WithDrains(news *cwdrain.System, servers *cwserver.Table) *API {
	a.drains = drainHandlers{news: news, servers: servers}

	return a
}

func (d drainHandlers) handle(app *fiber.App) {
	if d.news == nil {
		return
	}

	app.Get(DrainPath, d.list)
	app.Post(DrainPath, d.drain)
}

func (d drainHandlers) list(c *fiber.Ctx) error { return c.JSON(d.leaving()) }

func (d drainHandlers) leaving() []Leaving {
	all := []Leaving{}

	for _, m := range d.news.Marks() {
		if m.On {
			all = append(all, Leaving{Address: m.Address, Source: m.Source.String()})
		}
	}

	return all
}

func (d drainHandlers) drain(c *fiber.Ctx) error {
	var request Drain
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: err.Error()})
	}

	if _, err := netip.ParseAddrPort(string(request.Address)); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: "drain: want an IP number and a port such as 10.0.0.9:8080"})
	}

	if !request.Undo && !d.servers.Has(request.Address) {
		return c.Status(fiber.StatusNotFound).JSON(Refused{Error: "drain: the VM list has no server at " + string(request.Address)})
	}

	d.news.Drain(request.Address, !request.Undo)

	return c.JSON(d.leaving())
}
