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

// Chain is a hash over all changes up to a revision. It distinguishes two
// histories with the same revision number. It is empty before the first change.
type Chain string

// chainBytes is the length that a SHA-256 sum is truncated to. A Chain detects
// mistakes, not forgery: whoever can write to the store can compute one.
const chainBytes = 16

// Change is a step from one revision to the next.
type Change struct {
	// ID identifies the change. Submitting the same content on the same base
	// again gives the same ID, so a change can be retried after a lost reply.
	ID carobward.ChangeID `json:"id"`
	// Source identifies the content of the change, independent of its base.
	Source carobward.ChangeID `json:"source,omitempty"`
	// Author is the operator who made the change; informational only.
	Author string `json:"author,omitempty"`
	// Base is the revision that the change was made against.
	Base carobward.Revision `json:"base"`
	// Revision is the revision that the change created; zero until it is
	// accepted.
	Revision carobward.Revision `json:"revision,omitempty"`
	// Chain is the hash of the history up to and with this change.
	Chain Chain `json:"chain,omitempty"`
	// Put holds the targets to add or replace.
	Put []carobward.Target `json:"put,omitempty"`
	// Drop holds the names of the targets to remove.
	Drop []carobward.TargetName `json:"drop,omitempty"`
	// Measure replaces the measuring budget if it is set.
	Measure *cwtarget.Measure `json:"measure,omitempty"`
	// FullSet replaces the whole configuration and starts a new history. It
	// is used to write the fleet's configuration back to a store that was
	// restored from a backup.
	FullSet *cwtarget.Set `json:"whole,omitempty"`
}

// Empty reports whether the change has no effect.
func (c *Change) Empty() bool {
	return len(c.Put) == 0 && len(c.Drop) == 0 && c.Measure == nil && c.FullSet == nil
}

// chainAfter returns the chain after c is appended to a history whose chain is
// before. A change that replaces everything starts with an empty chain.
func (c *Change) chainAfter(before Chain) (Chain, error) {
	plain := *c
	plain.Chain = ""

	if c.FullSet != nil {
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

// normalized returns the change after a round trip through JSON, so that the
// writer computes the same chain as a reader of the store.
func (c *Change) normalized() (Change, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return Change{}, errors.Annotate(err, "config")
	}

	var read Change

	return read, errors.Annotate(decodeStrict(raw, &read), "config")
}

// Touched returns the names of the targets that the change adds, replaces or
// removes.
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

// decodeStrict decodes a single JSON value and returns an error for unknown
// keys: settings from a newer version must not be dropped silently.
func decodeStrict(raw []byte, into any) error {
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
