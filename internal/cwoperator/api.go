// Package cwoperator serves the operators' client: the configuration, the
// state of the entry VMs, and metrics.
package cwoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwpeer"
)

// Applied answers a change that was accepted.
type Applied struct {
	// Revision is the one that the change made.
	Revision carobward.Revision `json:"revision"`
}

// Refused answers a change that was not accepted, or may have been.
type Refused struct {
	// Error says what happened.
	Error string `json:"error"`
	// Unknown tells that the change may have been accepted.
	Unknown bool `json:"unknown"`
}

// VMStatus is the state of one entry VM.
type VMStatus struct {
	VM       carobward.VMID     `json:"vm"`
	Domain   carobward.Domain   `json:"domain"`
	State    string             `json:"state"`
	Revision carobward.Revision `json:"revision"`
}

// Status is the state of the whole as one entry VM sees it.
type Status struct {
	// Revision is the highest that is in force anywhere.
	Revision carobward.Revision `json:"revision"`
	// VMs lists the entry VMs.
	VMs []VMStatus `json:"vms"`
}

// API serves the operators' listener.
type API struct {
	key    string
	holder *cwconfig.Holder
	writer *cwconfig.Writer
	peers  *cwpeer.Table
	drains drains
}

// New returns the API. An empty key lets everyone in.
func New(key string, holder *cwconfig.Holder, writer *cwconfig.Writer, peers *cwpeer.Table) *API {
	return &API{key: key, holder: holder, writer: writer, peers: peers}
}

// Handler returns the HTTP side.
func (a *API) Handler() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})
	app.Use(a.authenticate)
	app.Get("/config", a.config)
	app.Post("/config", a.apply)
	app.Get("/status", a.status)
	a.drains.handle(app)
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))

	return app
}

func (a *API) authenticate(c *fiber.Ctx) error {
	if a.key == "" {
		return c.Next()
	}

	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(a.key))

	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return c.Status(fiber.StatusUnauthorized).JSON(Refused{Error: "the operators' key is missing or wrong"})
	}

	return c.Next()
}

func (a *API) config(c *fiber.Ctx) error { return c.JSON(a.holder.Config()) }

func (a *API) apply(c *fiber.Ctx) error {
	var change cwconfig.Change
	if err := json.Unmarshal(c.Body(), &change); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: err.Error()})
	}

	if change.ID == "" || change.Empty() {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Error: "the change has no id or changes nothing"})
	}

	revision, err := a.writer.Apply(c.Context(), change)
	if err != nil {
		return refuse(c, err)
	}

	return c.JSON(Applied{Revision: revision})
}

func refuse(c *fiber.Ctx, err error) error {
	status := fiber.StatusUnprocessableEntity

	var conflict *cwconfig.Conflict

	switch {
	case errors.As(err, &conflict), errors.Is(err, cwconfig.ErrBase), errors.Is(err, carobward.ErrConflict):
		status = fiber.StatusConflict
	case errors.Is(err, carobward.ErrStoreUnknown), errors.Is(err, carobward.ErrStoreDown):
		status = fiber.StatusServiceUnavailable
	}

	return c.Status(status).JSON(Refused{Error: err.Error(), Unknown: errors.Is(err, carobward.ErrStoreUnknown)})
}

func (a *API) status(c *fiber.Ctx) error {
	var s Status

	for _, p := range a.peers.All() {
		s.Revision = max(s.Revision, p.Revision)
		s.VMs = append(s.VMs, VMStatus{VM: p.ID, Domain: p.Domain, State: p.State.String(), Revision: p.Revision})
	}

	return c.JSON(s)
}
