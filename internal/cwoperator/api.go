// Package cwoperator serves the HTTP API for operators: configuration, draining
// of servers, state of the entry VMs, and metrics.
package cwoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwpeer"
)

// The limits of the listener.
const (
	// maxBodySize is the maximum size of a request body in bytes, slightly above
	// that of a value in the store.
	maxBodySize = 1 << 20
	// maxRequests bounds the concurrent requests.
	maxRequests  = 64
	readTimeout  = 5 * time.Second
	writeTimeout = 15 * time.Second
	idleTimeout  = 30 * time.Second
	// applyTimeout bounds the work on one change. After a timeout it may be
	// unknown whether the change was accepted.
	applyTimeout = 8 * time.Second
	// statusTimeout bounds the collection of the states of all entry VMs.
	statusTimeout = 3 * time.Second
)

// API serves the operators' listener.
type API struct {
	key    string
	holder *cwconfig.Holder
	writer *cwconfig.Writer
	peers  *cwpeer.Table
	drains drainHandlers
	syncer *cwconfig.Syncer
	vars   http.Handler
}

// New returns the API. With an empty key no authentication is required. The
// handler vars serves the metrics.
func New(key string, holder *cwconfig.Holder, writer *cwconfig.Writer, peers *cwpeer.Table, syncer *cwconfig.Syncer, vars http.Handler) *API {
	return &API{key: key, holder: holder, writer: writer, peers: peers, syncer: syncer, vars: vars}
}

// Handler returns the HTTP handler.
func (a *API) Handler() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             maxBodySize,
		Concurrency:           maxRequests,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          handleError,
	})
	app.Use(a.authenticate)
	app.Get("/config", a.config)
	app.Post("/config", a.apply)
	app.Post("/restore", a.restore)
	app.Get("/status", a.status)
	app.Get("/ready", a.ready)
	a.drains.handle(app)
	app.Get("/debug/vars", adaptor.HTTPHandler(a.vars))

	return app
}

func (a *API) authenticate(c *fiber.Ctx) error {
	if a.key == "" {
		return c.Next()
	}

	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(a.key))

	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return c.Status(fiber.StatusUnauthorized).JSON(Refused{Code: CodeKey, Error: "the operators' key is missing or wrong"})
	}

	return c.Next()
}

// handleError answers requests that fiber itself refuses, such as one whose body
// is too large.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError

	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}

	return c.Status(status).JSON(Refused{Code: CodeRequest, Error: err.Error()})
}
