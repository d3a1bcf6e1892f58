package cwoperator

import (
	"context"

	"github.com/gofiber/fiber/v2"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// VMStatus is the state of one entry VM.
type VMStatus struct {
	VM     carobward.VMID   `json:"vm"`
	Domain carobward.Domain `json:"domain"`
	// State is live, suspect, leaving or dead, as seen by the entry VM that
	// serves the request.
	State string `json:"state"`
	// Answered is true if the entry VM itself reported the fields below.
	// Otherwise only Revision is known, as last received from a peer.
	Answered bool               `json:"answered"`
	Ready    bool               `json:"ready"`
	Revision carobward.Revision `json:"revision"`
	// AgeMillis is the time in milliseconds since the entry VM last learned that
	// its revision is the newest; negative if it never did or that is not known.
	AgeMillis int64 `json:"age_millis"`
	// Alarm describes what is wrong with its configuration, if anything.
	Alarm string `json:"alarm,omitempty"`
}

// Status is the state of the fleet as one entry VM sees it.
type Status struct {
	// Revision is the highest revision among the entry VMs.
	Revision carobward.Revision `json:"revision"`
	// VMs lists the entry VMs.
	VMs []VMStatus `json:"vms"`
}

// Dead reports whether the entry VM counts as dead.
func (v *VMStatus) Dead() bool { return !v.Answered && v.State == carobward.PeerDead.String() }

// Has reports whether the entry VM itself reported that a revision or a later
// one is effective there.
func (v *VMStatus) Has(r carobward.Revision) bool {
	return v.Answered && v.Ready && v.Revision >= r
}

// Without returns the entry VMs, except dead ones, on which a revision is not
// known to be effective.
func (s *Status) Without(r carobward.Revision) []VMStatus {
	var all []VMStatus

	for i := range s.VMs {
		if v := &s.VMs[i]; !v.Dead() && !v.Has(r) {
			all = append(all, *v)
		}
	}

	return all
}

// Reached counts the entry VMs on which a revision is known to be effective.
func (s *Status) Reached(r carobward.Revision) int {
	n := 0

	for i := range s.VMs {
		if s.VMs[i].Has(r) {
			n++
		}
	}

	return n
}

func (a *API) status(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()

	s := Status{VMs: []VMStatus{}}

	for _, p := range a.syncer.FleetStatus(ctx) {
		v := vmStatus(&p)
		s.Revision = max(s.Revision, v.Revision)
		s.VMs = append(s.VMs, v)
	}

	return c.JSON(s)
}

func vmStatus(s *cwconfig.PeerStatus) VMStatus {
	v := VMStatus{
		VM:        s.Peer.ID,
		Domain:    s.Peer.Domain,
		State:     s.Peer.State.String(),
		Answered:  s.Answered,
		Ready:     s.Ready,
		Revision:  s.Revision,
		AgeMillis: s.Age.Milliseconds(),
		Alarm:     s.Alarm,
	}

	if !s.Answered {
		v.Revision = s.Peer.Revision
		v.AgeMillis = -1
	}

	return v
}
