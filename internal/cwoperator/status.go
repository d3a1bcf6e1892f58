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
	// State is live, suspect, leaving or dead, as the asked entry VM sees it.
	State string `json:"state"`
	// Answered tells that the entry VM itself told what follows. Else the
	// revision is what was last heard of.
	Answered bool               `json:"answered"`
	Ready    bool               `json:"ready"`
	Revision carobward.Revision `json:"revision"`
	// AgeMillis is for how long it has had no news that its revision is the
	// newest, in milliseconds; negative for never.
	AgeMillis int64 `json:"age_millis"`
	// Alarm says what is wrong with its configuration.
	Alarm string `json:"alarm,omitempty"`
}

// Status is the state of the whole as one entry VM sees it.
type Status struct {
	// Revision is the highest that is in force anywhere.
	Revision carobward.Revision `json:"revision"`
	// VMs lists the entry VMs.
	VMs []VMStatus `json:"vms"`
}

// Dead tells that the entry VM counts as gone.
func (v *VMStatus) Dead() bool { return !v.Answered && v.State == carobward.PeerDead.String() }

// Has tells that the entry VM has said itself that a revision or a later one
// is in force there.
func (v *VMStatus) Has(r carobward.Revision) bool {
	return v.Answered && v.Ready && v.Revision >= r
}

// Without returns the entry VMs on which a revision is not known to be in
// force, but for those that count as gone.
func (s *Status) Without(r carobward.Revision) []VMStatus {
	var all []VMStatus

	for i := range s.VMs {
		if v := &s.VMs[i]; !v.Dead() && !v.Has(r) {
			all = append(all, *v)
		}
	}

	return all
}

// Reached counts the entry VMs on which a revision is in force.
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
	ctx, cancel := context.WithTimeout(context.Background(), statusMost)
	defer cancel()

	s := Status{VMs: []VMStatus{}}

	for _, st := range a.syncer.FleetStatus(ctx) {
		v := vmStatus(&st)
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
