package cwconfig

import (
	"context"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrParts tells that the store's head and snapshot do not fit together, as
// after they were restored from copies of different times.
const ErrParts = errors.ConstError("config: head and snapshot of the store do not fit together")

// partsTries bounds how often the head is read again, since a snapshot may
// be replaced in between.
const partsTries = 3

// Reader reads the configuration from the store.
type Reader struct {
	store carobward.Store
}

// NewReader returns a reader of a store.
func NewReader(store carobward.Store) *Reader { return &Reader{store: store} }

// Found is what the store holds.
type Found struct {
	// Index is the one that the head may be swapped against.
	Index carobward.StoreIndex
	// Next is where a watch of the head starts.
	Next carobward.StoreIndex
	// Head holds the last changes.
	Head Head
	// Config is the state after them.
	Config *Config
}

// Head reads the last changes only.
func (r *Reader) Head(ctx context.Context) (Found, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if err != nil {
		return Found{}, err
	}

	return foundIn(entry)
}

// Watch waits for a head after the given index.
func (r *Reader) Watch(ctx context.Context, after carobward.StoreIndex) (Found, error) {
	entry, err := r.store.Watch(ctx, HeadKey, after)
	if err != nil {
		return Found{}, err
	}

	return foundIn(entry)
}

func foundIn(entry carobward.Entry) (Found, error) {
	head, err := DecodeHead(entry.Value)

	return Found{Index: entry.Index, Next: entry.Next, Head: head}, err
}

// State reads the whole state. It starts from a configuration that is known
// already, if the head leads on from it, and else from the snapshot. The head
// is read first: the snapshot only rises, so that one read later can't be too
// old for the head.
func (r *Reader) State(ctx context.Context, known *Config) (Found, error) {
	for range partsTries {
		found, err := r.Head(ctx)
		if err != nil {
			return found, err
		}

		found.Config, err = r.Complete(ctx, &found.Head, known)
		if !errors.Is(err, ErrParts) {
			return found, err
		}
	}

	return Found{}, ErrParts
}

// Complete returns the state after the changes of a head.
func (r *Reader) Complete(ctx context.Context, head *Head, known *Config) (*Config, error) {
	if known.Revision <= head.Revision() {
		config, err := known.Replay(head.Changes)
		if !errors.Is(err, ErrGap) && !diverged(err) {
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
		return nil, ErrParts
	}

	config, err = base.Replay(head.Changes)
	if diverged(err) {
		return nil, errors.WithType(err, ErrParts)
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

func diverged(err error) bool {
	var d *Diverged

	return errors.As(err, &d)
}
