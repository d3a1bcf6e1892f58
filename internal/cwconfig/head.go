package cwconfig

import (
	"encoding/json"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The keys of the store.
const (
	// HeadKey holds the Head. Its swap is what accepts a change.
	HeadKey carobward.Key = "head"
	// SnapshotKey holds a whole Config of some revision that the head's
	// changes lead on from.
	SnapshotKey carobward.Key = "snapshot"
)

// The bounds of the store's values.
const (
	// format is the version of the values' layout.
	format = 1
	// valueMost is the largest value in bytes that the store takes.
	valueMost = 1_000_000
	// ringMost and ringBytes are how many changes a head holds at most; a
	// larger change is held alone. Each watcher reads all that is held at
	// each change.
	ringMost  = 24
	ringBytes = 8_000
	// ringKeep is how many changes stay when a head has grown too large, so
	// that who has missed a few needs no full copy.
	ringKeep = 8
)

// ErrUnreadable tells that a value of the store is malformed or was written
// by a newer version.
const ErrUnreadable = errors.ConstError("config: unreadable, it may come from a newer version")

// Head is the newest revision of the configuration, as the last changes that
// led to it, oldest first.
type Head struct {
	Format  int      `json:"format"`
	Changes []Change `json:"changes"`
}

// snapshot is the frame of a Config in the store.
type snapshot struct {
	Format int    `json:"format"`
	Config Config `json:"config"`
}

// Revision returns the newest revision, zero for none.
func (h *Head) Revision() carobward.Revision {
	if len(h.Changes) == 0 {
		return 0
	}

	return h.Changes[len(h.Changes)-1].Revision
}

// Base returns the revision that the first change was made upon.
func (h *Head) Base() carobward.Revision {
	if len(h.Changes) == 0 {
		return 0
	}

	return h.Changes[0].Revision - 1
}

// With returns the head after an accepted change. The revision tells what
// has to be in the snapshot before the head may be written; zero is for
// nothing.
func (h *Head) With(change Change) (Head, carobward.Revision) {
	all := append(append([]Change(nil), h.Changes...), change)
	sizes := make([]int, len(all))
	total := 0

	for i := range all {
		sizes[i] = size(&all[i])
		total += sizes[i]
	}

	if len(all) <= ringMost && total <= ringBytes {
		return Head{Format: format, Changes: all}, 0
	}

	first := 0
	for first < len(all)-1 && (len(all)-first > ringKeep || total > ringBytes) {
		total -= sizes[first]
		first++
	}

	head := Head{Format: format, Changes: all[first:]}
	if head.Changes[0].Whole != nil {
		return head, 0
	}

	return head, head.Base()
}

// size returns the bytes that a change takes in JSON.
func size(c *Change) int {
	raw, err := json.Marshal(c)
	if err != nil {
		return valueMost
	}

	return len(raw)
}

// encode writes a value as the store holds it.
func encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Annotate(err, "config")
	}

	if len(raw) > valueMost {
		return nil, errors.Annotatef(ErrSize, "config: %d bytes, %d are allowed", len(raw), valueMost)
	}

	return raw, nil
}

// DecodeHead reads a head. No bytes are the head of no configuration.
func DecodeHead(raw []byte) (Head, error) {
	h := Head{Format: format}
	if len(raw) == 0 {
		return h, nil
	}

	if err := strict(raw, &h); err != nil {
		return Head{}, errors.WithType(errors.Annotate(err, "config: head"), ErrUnreadable)
	}

	if h.Format != format {
		return Head{}, errors.Annotatef(ErrUnreadable, "head has format %d", h.Format)
	}

	return h, errors.Annotate(linked(h.Changes), "head")
}

// linked checks that changes follow one another.
func linked(changes []Change) error {
	if len(changes) == 0 {
		return errors.Annotate(ErrUnreadable, "no changes")
	}

	for i := range changes {
		c := &changes[i]
		if c.ID == "" || c.Revision == 0 || c.Chain == "" || c.Empty() {
			return errors.Annotatef(ErrUnreadable, "change %d is incomplete", i)
		}

		if i == 0 {
			continue
		}

		chain, err := c.next(changes[i-1].Chain)
		if err != nil || chain != c.Chain || c.Revision != changes[i-1].Revision+1 {
			return errors.Annotatef(ErrUnreadable, "change %d does not follow the one before", i)
		}
	}

	return nil
}

// DecodeSnapshot reads a snapshot. No bytes are the configuration of
// revision zero.
func DecodeSnapshot(raw []byte) (*Config, error) {
	s := snapshot{Format: format}
	if len(raw) == 0 {
		return &s.Config, nil
	}

	if err := strict(raw, &s); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "config: snapshot"), ErrUnreadable)
	}

	if s.Format != format {
		return nil, errors.Annotatef(ErrUnreadable, "snapshot has format %d", s.Format)
	}

	if err := s.Config.Set.Validate(); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "config: snapshot"), ErrUnreadable)
	}

	return &s.Config, nil
}
