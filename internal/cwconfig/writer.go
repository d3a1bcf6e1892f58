package cwconfig

import (
	"context"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Key is where the store holds the configuration.
const Key carobward.Key = "config"

// Writer makes changes of the configuration in the store.
type Writer struct {
	store  carobward.Store
	holder *Holder
}

// NewWriter returns a writer that puts what it has accepted in force in the
// holder.
func NewWriter(store carobward.Store, holder *Holder) *Writer {
	return &Writer{store: store, holder: holder}
}

// tries bounds how often a write is tried against other writers.
const tries = 8

// Apply makes a change and returns the revision that it is accepted in. A
// change that the store has already is accepted as it is, so that it may be
// applied again after a lost reply. The error is a Conflict, ErrStoreDown
// (nothing was changed) or ErrStoreUnknown.
func (w *Writer) Apply(ctx context.Context, change Change) (carobward.Revision, error) {
	last := error(carobward.ErrConflict)

	for range tries {
		revision, err := w.once(ctx, change)
		if !errors.Is(err, carobward.ErrConflict) && !errors.Is(err, carobward.ErrStoreUnknown) {
			return revision, err
		}

		last = err
	}

	return 0, last
}

// once reads, checks and swaps. After a lost reply the next read finds out.
func (w *Writer) once(ctx context.Context, change Change) (carobward.Revision, error) {
	entry, err := w.store.Get(ctx, Key)
	if err != nil {
		return 0, err
	}

	config, err := Decode(entry.Value)
	if err != nil {
		return 0, err
	}

	if done, ok := config.Find(change.ID); ok {
		w.holder.Adopt(config)

		return done.Revision, nil
	}

	next, err := config.With(change)
	if err != nil {
		return 0, err
	}

	raw, err := next.Encode()
	if err != nil {
		return 0, errors.Annotate(err, "config")
	}

	if err := w.store.Swap(ctx, Key, raw, entry.Index); err != nil {
		return 0, err
	}

	w.holder.Adopt(next)

	return next.Revision, nil
}
