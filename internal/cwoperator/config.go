package cwoperator

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/gofiber/fiber/v2"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
)

// View is the effective configuration of an entry VM.
type View struct {
	cwconfig.Config

	// Recent has the last changes, oldest first.
	Recent []cwconfig.Change `json:"recent,omitempty"`
}

// Applied is the reply to a change that was accepted.
type Applied struct {
	// Revision is the revision that the change created.
	Revision carobward.Revision `json:"revision"`
	// Newest is the effective revision of the entry VM. It is higher than
	// Revision if the change had been accepted before and others followed it.
	Newest carobward.Revision `json:"newest"`
}

// Code is the reason of a refusal, for programs.
type Code string

// The codes. Except with CodeUnknown, nothing was changed.
const (
	CodeKey      Code = "key"
	CodeRequest  Code = "request"
	CodeInvalid  Code = "invalid"
	CodeConflict Code = "conflict"
	CodeBase     Code = "base"
	CodeOlder    Code = "older-store"
	CodeCurrent  Code = "nothing-to-restore"
	CodeNotReady Code = "not-ready"
	CodeDown     Code = "store-down"
	CodeBusy     Code = "busy"
	CodeUnknown  Code = "unknown"
)

// Refused is the reply to a request that was refused or whose outcome is
// unknown.
type Refused struct {
	// Code is the reason for programs, and Error is the reason for people.
	Code  Code   `json:"code"`
	Error string `json:"error"`
	// Unknown is true if the change may have been accepted.
	Unknown bool `json:"unknown"`
	// Conflict is the change that was accepted before, for CodeConflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict identifies the change that was accepted before a conflicting one.
type Conflict struct {
	// Target is empty for the measurement budget.
	Target   carobward.TargetName `json:"target,omitempty"`
	Revision carobward.Revision   `json:"revision"`
	Author   string               `json:"author,omitempty"`
	Change   carobward.ChangeID   `json:"change"`
}

func (a *API) config(c *fiber.Ctx) error {
	if !a.syncer.Condition().Ready {
		return refuse(c, cwconfig.ErrNotReady)
	}

	v := View{Config: *a.holder.Config()}
	if c.QueryBool("recent") {
		v.Recent = a.holder.Recent()
	}

	return c.JSON(v)
}

func (a *API) apply(c *fiber.Ctx) error {
	change, err := readChange(c.Body())
	if err == nil && change.Empty() {
		err = errors.New("the change changes nothing")
	}

	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Code: CodeRequest, Error: err.Error()})
	}

	return a.change(c, func(ctx context.Context) (carobward.Revision, error) {
		if err := a.syncer.CatchUp(ctx); err != nil {
			return 0, err
		}

		return a.writer.Apply(ctx, *change)
	})
}

func (a *API) restore(c *fiber.Ctx) error {
	change, err := readChange(c.Body())
	if err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(Refused{Code: CodeRequest, Error: err.Error()})
	}

	return a.change(c, func(ctx context.Context) (carobward.Revision, error) {
		if err := a.syncer.CatchUp(ctx); err != nil {
			return 0, err
		}

		return a.writer.Restore(ctx, *change, a.syncer.FleetRevision())
	})
}

// readChange decodes a change. It rejects unknown keys, because a newer client
// may have sent them and rely on their effect.
func readChange(body []byte) (*cwconfig.Change, error) {
	change := &cwconfig.Change{}

	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(change); err != nil {
		return nil, errors.Annotate(err, "malformed change")
	}

	if change.ID == "" {
		return nil, errors.New("the change has no id")
	}

	return change, nil
}

// change makes a change within applyTimeout and replies with its outcome.
func (a *API) change(c *fiber.Ctx, apply func(context.Context) (carobward.Revision, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()

	revision, err := apply(ctx)
	if err != nil {
		return refuse(c, err)
	}

	return c.JSON(Applied{Revision: revision, Newest: a.holder.Revision()})
}

const unchanged = "nothing was changed"

// refusals maps errors to their code, status and meaning for the operator. The
// first entry that matches is used.
var refusals = []struct {
	err     error
	code    Code
	status  int
	meaning string
}{
	{carobward.ErrStoreUnknown, CodeUnknown, fiber.StatusServiceUnavailable, "the change may have been accepted"},
	{carobward.ErrStoreDown, CodeDown, fiber.StatusServiceUnavailable, "the platform's store does not answer, nothing was changed"},
	{carobward.ErrConflict, CodeBusy, fiber.StatusServiceUnavailable, unchanged},
	{cwconfig.ErrNotReady, CodeNotReady, fiber.StatusServiceUnavailable, unchanged},
	{cwconfig.ErrBehind, CodeNotReady, fiber.StatusServiceUnavailable, unchanged},
	{cwconfig.ErrBaseTooOld, CodeBase, fiber.StatusConflict, unchanged},
	{cwconfig.ErrStoreOutdated, CodeOlder, fiber.StatusConflict, unchanged},
	{cwconfig.ErrSnapshotMismatch, CodeOlder, fiber.StatusConflict, unchanged},
	{cwconfig.ErrNothingToRestore, CodeCurrent, fiber.StatusConflict, unchanged},
}

func refuse(c *fiber.Ctx, err error) error {
	var conflict *cwconfig.Conflict
	if errors.As(err, &conflict) {
		return c.Status(fiber.StatusConflict).JSON(Refused{
			Code:  CodeConflict,
			Error: err.Error(),
			Conflict: &Conflict{
				Target:   conflict.Target,
				Revision: conflict.Other.Revision,
				Author:   conflict.Other.Author,
				Change:   conflict.Other.ID,
			},
		})
	}

	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return c.Status(r.status).JSON(Refused{Code: r.code, Error: r.meaning + ": " + err.Error(), Unknown: r.code == CodeUnknown})
		}
	}

	return c.Status(fiber.StatusUnprocessableEntity).JSON(Refused{Code: CodeInvalid, Error: err.Error()})
}
