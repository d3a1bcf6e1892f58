package cwoperator

import (
	"encoding/json"
	"net/netip"

	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwserver"
)

// DrainPath is where servers are drained (POST a Drain) and where those that
// leave are listed (GET).
const DrainPath = "/drain"

// Drain asks that a server gets no new work, or that it gets work again.
type Drain struct {
	Address carobward.Address `json:"address"`
	// Undo ends all that is known of the server's leaving.
	Undo bool `json:"undo,omitempty"`
}

// Leaving is one server that leaves, and by what sign.
type Leaving struct {
	Address carobward.Address `json:"address"`
	// Source is server, health, vm-list or operator.
	Source string `json:"source"`
}

// drains has what the drain handlers need.
type drains struct {
	news    *cwdrain.System
	servers *cwserver.Table
}

// WithDrains adds the draining of servers and returns the same API.
func (a *API) WithDrains(news *cwdrain.System, servers *cwserver.Table) *API {
	a.drains = drains{news: news, servers: servers}

	return a
}

func (d drains) handle(app *fiber.App) {
	if d.news == nil {
		return
	}

	app.Get(DrainPath, d.list)
	app.Post(DrainPath, d.drain)
}

func (d drains) list(c *fiber.Ctx) error { return c.JSON(d.leaving()) }

func (d drains) leaving() []Leaving {
	all := []Leaving{}

	for _, m := range d.news.Marks() {
		if m.On {
			all = append(all, Leaving{Address: m.Address, Source: m.Source.String()})
		}
	}

	return all
}

func (d drains) drain(c *fiber.Ctx) error {
	var in Drain
	if err := json.Unmarshal(c.Body(), &in); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: err.Error()})
	}

	if _, err := netip.ParseAddrPort(string(in.Address)); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: "drain: want an IP number and a port such as 10.0.0.9:8080"})
	}

	if !in.Undo && !d.servers.Has(in.Address) {
		return c.Status(fiber.StatusNotFound).JSON(Refused{Error: "drain: the VM list has no server at " + string(in.Address)})
	}

	d.news.Drain(in.Address, !in.Undo)

	return c.JSON(d.leaving())
}
