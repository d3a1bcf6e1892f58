package cwconfig

import (
	"encoding/json"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The keys in the store.
const (
	// HeadKey holds the Head. A change is accepted once a compare-and-swap
	// of this key has succeeded.
	HeadKey carobward.Key = "head"
	// SnapshotKey holds a full Config, of a revision from which the head's
	// changes continue.
	SnapshotKey carobward.Key = "snapshot"
)

// The format and the limits of the values in the store.
const (
	// format is the version of the encoding.
	format = 1
	// maxValueBytes is the largest value that the store accepts.
	maxValueBytes = 1_000_000
	// maxHeadChanges and maxHeadBytes limit the changes in a head, because
	// each watcher reads the whole head after every change. A single change
	// larger than that is the only one in its head.
	maxHeadChanges = 24
	maxHeadBytes   = 8_000
	// keptHeadChanges is how many changes are kept when a head exceeds the
	// limits, so that a reader that missed a few needs no full copy.
	keptHeadChanges = 8
)

// ErrUnreadable means that a value is malformed or was written by a newer
// version.
const ErrUnreadable = errors.ConstError("config: unreadable, it may come from a newer version")

// Head identifies the newest revision of the configuration by the last changes
// that led to it, oldest first.
type Head struct {
	Format  int      `json:"format"`
	Changes []Change `json:"changes"`
}

// snapshot is the stored form of a Config.
type snapshot struct {
	Format int    `json:"format"`
	Config Config `json:"config"`
}

// Revision returns the newest revision, or zero if there is none.
func (h *Head) Revision() carobward.Revision {
	if len(h.Changes) == 0 {
		return 0
	}

	return h.Changes[len(h.Changes)-1].Revision
}

// Base returns the revision before the first change of the head.
func (h *Head) Base() carobward.Revision {
	if len(h.Changes) == 0 {
		return 0
	}

	return h.Changes[0].Revision - 1
}

// With returns the head after an accepted change, and the revision that the
// snapshot must have at least before the head may be written. It is zero if
// the snapshot doesn't need an update.
func (h *Head) With(change Change) (Head, carobward.Revision) {
	all := append(append([]Change(nil), h.Changes...), change)
	sizes := make([]int, len(all))
	total := 0

	for i := range all {
		sizes[i] = jsonSize(&all[i])
		total += sizes[i]
	}

	if len(all) <= maxHeadChanges && total <= maxHeadBytes {
		return Head{Format: format, Changes: all}, 0
	}

	first := 0
	for first < len(all)-1 && (len(all)-first > keptHeadChanges || total > maxHeadBytes) {
		total -= sizes[first]
		first++
	}

	head := Head{Format: format, Changes: all[first:]}
	if head.Changes[0].FullSet != nil {
		return head, 0
	}

	return head, head.Base()
}

// jsonSize returns the size of a change in JSON, in bytes.
func jsonSize(c *Change) int {
	raw, err := json.Marshal(c)
	if err != nil {
		return maxValueBytes
	}

	return len(raw)
}

// encode encodes a value for the store and checks its size.
func encode(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Annotate(err, "config")
	}

	if len(raw) > maxValueBytes {
		return nil, errors.Annotatef(ErrTooLarge, "config: %d bytes, %d are allowed", len(raw), maxValueBytes)
	}

	return raw, nil
}

// DecodeHead decodes a head. Empty input gives a head without changes.
func DecodeHead(raw []byte) (Head, error) {
	h := Head{Format: format}
	if len(raw) == 0 {
		return h, nil
	}

	if err := decodeStrict(raw, &h); err != nil {
		return Head{}, errors.WithType(errors.Annotate(err, "config: head"), ErrUnreadable)
	}

	if h.Format != format {
		return Head{}, errors.Annotatef(ErrUnreadable, "head has format %d", h.Format)
	}

	return h, errors.Annotate(checkSequence(h.Changes), "head")
}

// checkSequence checks that changes are complete and consecutive.
func checkSequence(changes []Change) error {
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

		chain, err := c.chainAfter(changes[i-1].Chain)
		if err != nil || chain != c.Chain || c.Revision != changes[i-1].Revision+1 {
			return errors.Annotatef(ErrUnreadable, "change %d does not follow the one before", i)
		}
	}

	return nil
}

// DecodeSnapshot decodes a snapshot. Empty input gives the configuration of
// revision zero.
func DecodeSnapshot(raw []byte) (*Config, error) {
	s := snapshot{Format: format}
	if len(raw) == 0 {
		return &s.Config, nil
	}

	if err := decodeStrict(raw, &s); err != nil {
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
