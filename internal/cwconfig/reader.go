package cwconfig

import (
	"context"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrSnapshotMismatch means that the store's head does not continue from its
// snapshot, for instance after they were restored from different backups.
const ErrSnapshotMismatch = errors.ConstError("config: head and snapshot of the store do not fit together")

// maxStateReads limits the reads of head and snapshot. They are repeated on a
// mismatch, since the snapshot may be replaced between the two reads.
const maxStateReads = 3

// Reader reads the configuration from the store.
type Reader struct {
	store carobward.Store
}

// NewReader returns a Reader of the store.
func NewReader(store carobward.Store) *Reader { return &Reader{store: store} }

// StoreState is the configuration as read from the store.
type StoreState struct {
	// Index is the store index of the head, for a compare-and-swap of it.
	Index carobward.StoreIndex
	// Next is the index from which to watch the head.
	Next carobward.StoreIndex
	// Head holds the last changes.
	Head Head
	// Config is the configuration after them; nil if only the head was read.
	Config *Config
}

// Head reads only the head.
func (r *Reader) Head(ctx context.Context) (StoreState, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if err != nil {
		return StoreState{}, err
	}

	return decodeState(entry)
}

// Watch waits for the head to change after the given index.
func (r *Reader) Watch(ctx context.Context, after carobward.StoreIndex) (StoreState, error) {
	entry, err := r.store.Watch(ctx, HeadKey, after)
	if err != nil {
		return StoreState{}, err
	}

	return decodeState(entry)
}

func decodeState(entry carobward.Entry) (StoreState, error) {
	head, err := DecodeHead(entry.Value)

	return StoreState{Index: entry.Index, Next: entry.Next, Head: head}, err
}

// State reads the head and the full configuration. It starts from the known
// configuration if the head continues from it, and otherwise from the
// snapshot. The head is read first: the snapshot's revision only increases, so
// a snapshot read afterwards can't be too old for the head.
func (r *Reader) State(ctx context.Context, known *Config) (StoreState, error) {
	for range maxStateReads {
		found, err := r.Head(ctx)
		if err != nil {
			return found, err
		}

		found.Config, err = r.Complete(ctx, &found.Head, known)
		if !errors.Is(err, ErrSnapshotMismatch) {
			return found, err
		}
	}

	return StoreState{}, ErrSnapshotMismatch
}

// Complete returns the configuration after the changes of a head.
func (r *Reader) Complete(ctx context.Context, head *Head, known *Config) (*Config, error) {
	if known.Revision <= head.Revision() {
		config, err := known.Replay(head.Changes)
		if !errors.Is(err, ErrGap) && !isDiverged(err) {
			return config, err
		}
	}

	config, err := (&Config{}).Replay(head.Changes)
	if !errors.Is(err, ErrGap) {
		return config, err
	}

	base, _, err := r.snapshot(ctx)
	if err != nil {
		return nil, err
	}

	if base.Revision < head.Base() || base.Revision > head.Revision() {
		return nil, ErrSnapshotMismatch
	}

	config, err = base.Replay(head.Changes)
	if isDiverged(err) {
		return nil, errors.WithType(err, ErrSnapshotMismatch)
	}

	return config, err
}

func (r *Reader) snapshot(ctx context.Context) (*Config, carobward.StoreIndex, error) {
	entry, err := r.store.Get(ctx, SnapshotKey)
	if err != nil {
		return nil, 0, err
	}

	config, err := DecodeSnapshot(entry.Value)

	return config, entry.Index, err
}

func isDiverged(err error) bool {
	var d *Diverged

	return errors.As(err, &d)
}
