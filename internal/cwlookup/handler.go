package cwlookup

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// Tickets issues the prefixes of tickets.
type Tickets interface {
	// Prefix returns a new prefix.
	Prefix() string
}

// Handler returns the HTTP side: GET /addresses?caller=ID&domain=NAME.
func Handler(table *cwpeer.Table, keep time.Duration, tickets Tickets) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})

	app.Get("/addresses", func(c *fiber.Ctx) error {
		domain := carobward.Domain(c.Query("domain"))
		use := Choose(table.All(), c.Query("caller", c.IP()), domain)

		if len(use) == 0 {
			c.Set(carobward.HeaderRetryAfter, "1")

			return fiber.NewError(fiber.StatusServiceUnavailable, "no entry VM can take requests now")
		}

		return c.JSON(Answer{Use: use, Keep: max(1, int(keep.Seconds())), Ticket: tickets.Prefix()})
	})

	return app
}
