package cwconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// Chain is a hash over all changes up to a revision, so that two histories
// with the same revision number can be told apart. It is empty before the
// first change.
type Chain string

// chainBytes is how much of a SHA-256 sum a Chain keeps. It guards against
// mistakes, not against forgery: who can write the store can write a chain.
const chainBytes = 16

// Change is a step from one revision to the next.
type Change struct {
	// ID names the change. The same intent upon the same base has the same
	// id, so that it can be made again after a lost reply.
	ID carobward.ChangeID `json:"id"`
	// Source names the intent without its base.
	Source carobward.ChangeID `json:"source,omitempty"`
	// Author is who made the change, for people to read.
	Author string `json:"author,omitempty"`
	// Base is the revision that the writer saw.
	Base carobward.Revision `json:"base"`
	// Revision is the one that the change made; zero before it is accepted.
	Revision carobward.Revision `json:"revision,omitempty"`
	// Chain is the hash of the history up to and with this change.
	Chain Chain `json:"chain,omitempty"`
	// Put holds targets that are new or replaced.
	Put []carobward.Target `json:"put,omitempty"`
	// Drop names targets that are removed.
	Drop []carobward.TargetName `json:"drop,omitempty"`
	// Measure replaces the measuring budget, if set.
	Measure *cwtarget.Measure `json:"measure,omitempty"`
	// Whole replaces everything and starts a new history: it puts the
	// fleet's configuration back into a store that was restored.
	Whole *cwtarget.Set `json:"whole,omitempty"`
}

// Empty tells that the change changes nothing.
func (c *Change) Empty() bool {
	return len(c.Put) == 0 && len(c.Drop) == 0 && c.Measure == nil && c.Whole == nil
}

// next returns the chain after c, upon the chain before it.
func (c *Change) next(before Chain) (Chain, error) {
	plain := *c
	plain.Chain = ""

	if c.Whole != nil {
		before = ""
	}

	raw, err := json.Marshal(&plain)
	if err != nil {
		return "", errors.Annotate(err, "config")
	}

	h := sha256.New()
	_, _ = h.Write([]byte(before))
	_, _ = h.Write(raw)

	return Chain(hex.EncodeToString(h.Sum(nil)[:chainBytes])), nil
}

// normal returns the change as a reader of the store sees it, so that its
// chain is the same on both sides.
func (c *Change) normal() (Change, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Change{}, errors.Annotate(err, "config")
	}

	var read Change

	return read, errors.Annotate(strict(raw, &read), "config")
}

// Touched returns the names of the targets that the change puts or drops.
func (c *Change) Touched() map[carobward.TargetName]bool {
	names := map[carobward.TargetName]bool{}
	for i := range c.Put {
		names[c.Put[i].Name] = true
	}

	for _, n := range c.Drop {
		names[n] = true
	}

	return names
}

// strict decodes JSON and refuses unknown keys: what this version does not
// know it must not drop silently.
func strict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()

	if err := d.Decode(into); err != nil {
		return err
	}

	if d.More() {
		return errors.New("more than one value")
	}

	return nil
}
