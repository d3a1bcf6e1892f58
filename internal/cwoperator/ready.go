package cwoperator

import (
	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
)

// Ready is the readiness of this entry VM, for the platform's health checks.
type Ready struct {
	// Ready is false, and the status 503, until the entry VM has received its
	// configuration and while it is leaving.
	Ready bool `json:"ready"`
	// State is the state of this entry VM as a peer.
	State string `json:"state"`
	// Revision is the effective revision of this entry VM.
	Revision carobward.Revision `json:"revision"`
	// Alarm describes what is wrong with the configuration, if anything.
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
