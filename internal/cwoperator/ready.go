package cwoperator

import (
	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
)

// Ready tells whether this entry VM takes requests, for the platform's health
// checks.
type Ready struct {
	// Ready is false for a newcomer that does not know the configuration
	// yet, and for an entry VM that leaves. The status is 503 then.
	Ready bool `json:"ready"`
	// State is how this entry VM counts among its peers.
	State string `json:"state"`
	// Revision is the one in force here.
	Revision carobward.Revision `json:"revision"`
	// Alarm says what is wrong with the configuration.
	Alarm string `json:"alarm,omitempty"`
}

func (a *API) ready(c *fiber.Ctx) error {
	self, condition := a.peers.Self(), a.syncer.Condition()
	r := Ready{
		Ready:    condition.Ready && self.State == carobward.PeerLive,
		State:    self.State.String(),
		Revision: condition.Revision,
		Alarm:    condition.Alarm,
	}

	if !r.Ready {
		c.Status(fiber.StatusServiceUnavailable)
	}

	return c.JSON(r)
}
