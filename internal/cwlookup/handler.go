package cwlookup

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
)

// Tickets issues ticket prefixes.
type Tickets interface {
	// Prefix returns a new prefix.
	Prefix() string
}

// KeepTime returns how long callers keep a reply: keep rounded down to whole
// seconds, the unit of Reply.Keep, but at least one second.
func KeepTime(keep time.Duration) time.Duration { return max(time.Second, keep.Truncate(time.Second)) }

// Handler returns the HTTP handler of
// GET /addresses?caller=ID&domain=NAME&target=NAME&width=N. Without a target
// the addresses are chosen from all entry VMs. The width is that of the caller's
// last reply.
func Handler(table *cwpeer.Table, keep time.Duration, tickets Tickets, widths *Widths) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})

	app.Get("/addresses", func(c *fiber.Ctx) error {
		if table.Self().State == carobward.PeerLeaving {
			// Makes the caller ask another entry VM next time.
			c.Context().SetConnectionClose()
		}

		domain := carobward.Domain(c.Query("domain"))
		peers := table.All()

		width := 0

		if target := carobward.TargetName(c.Query("target")); target != "" {
			width = widths.Of(target, c.QueryInt("width"))
			peers = AssignedVMs(peers, target, width)
		}

		use := Choose(peers, c.Query("caller", c.IP()), domain)

		if len(use) == 0 {
			c.Set(carobward.HeaderRetryAfter, "1")

			return fiber.NewError(fiber.StatusServiceUnavailable, "no entry VM can take requests now")
		}

		return c.JSON(Reply{Use: use, Keep: int(KeepTime(keep).Seconds()), Width: width, Ticket: tickets.Prefix()})
	})

	return app
}
