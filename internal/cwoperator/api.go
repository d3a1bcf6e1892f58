// Package cwoperator serves the operators' client: the configuration, the
// state of the entry VMs, and metrics.
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

// The bounds of the listener.
const (
	// bodyMost is the largest request body in bytes: what the store takes.
	bodyMost = 1 << 20
	// requestsMost is the number of requests at once.
	requestsMost = 64
	readMost     = 5 * time.Second
	writeMost    = 15 * time.Second
	idleMost     = 30 * time.Second
	// applyMost bounds the work on one change. Its outcome may be unknown
	// then.
	applyMost = 8 * time.Second
	// statusMost bounds the asking of all entry VMs.
	statusMost = 3 * time.Second
)

// API serves the operators' listener.
type API struct {
	key    string
	holder *cwconfig.Holder
	writer *cwconfig.Writer
	peers  *cwpeer.Table
	drains drains
	syncer *cwconfig.Syncer
	vars   http.Handler
}

// New returns the API. An empty key lets everyone in. vars shows the metrics.
func New(key string, holder *cwconfig.Holder, writer *cwconfig.Writer, peers *cwpeer.Table, syncer *cwconfig.Syncer, vars http.Handler) *API {
	return &API{key: key, holder: holder, writer: writer, peers: peers, syncer: syncer, vars: vars}
}

// Handler returns the HTTP side.
func (a *API) Handler() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             bodyMost,
		Concurrency:           requestsMost,
		ReadTimeout:           readMost,
		WriteTimeout:          writeMost,
		IdleTimeout:           idleMost,
		ErrorHandler:          failed,
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

// failed answers what fiber refuses itself, such as a body too large.
func failed(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError

	var f *fiber.Error
	if errors.As(err, &f) {
		status = f.Code
	}

	return c.Status(status).JSON(Refused{Code: CodeRequest, Error: err.Error()})
}
