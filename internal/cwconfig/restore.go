package cwconfig

import (
	"context"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrCurrent tells that there is nothing to restore.
const ErrCurrent = errors.ConstError("config: the store has the configuration in force or a later one, nothing to restore")

// Restore puts the configuration in force here back into a store that has an
// older or another one. It becomes a new revision, higher than any that the
// store or the fleet has, so that each entry VM takes it. The change needs an
// id and an author. Errors are as with Apply, or ErrCurrent.
func (w *Writer) Restore(ctx context.Context, change Change, fleet carobward.Revision) (carobward.Revision, error) {
	return w.persist(ctx, func() (carobward.Revision, error) { return w.restore(ctx, change, fleet) })
}

func (w *Writer) restore(ctx context.Context, change Change, fleet carobward.Revision) (carobward.Revision, error) {
	known := w.holder.Config()

	found, err := w.reader.Head(ctx)
	if err != nil {
		return 0, err
	}

	if done, ok := find(found.Head.Changes, change.ID); ok {
		return done.Revision, w.take(&found)
	}

	if !behind(&found.Head, known) {
		return 0, ErrCurrent
	}

	old, _, err := w.reader.snapshot(ctx)
	if err != nil {
		return 0, err
	}

	set := known.Set
	highest := max(known.Revision, found.Head.Revision(), old.Revision, fleet)
	restored := Change{ID: change.ID, Author: change.Author, Base: highest, Revision: highest + 1, Whole: &set}

	if restored, err = restored.normal(); err != nil {
		return 0, err
	}

	if restored.Chain, err = restored.next(""); err != nil {
		return 0, err
	}

	head := Head{Format: format, Changes: []Change{restored}}
	if err := w.swap(ctx, HeadKey, head, found.Index); err != nil {
		return 0, err
	}

	_, err = w.holder.Advance(head.Changes)

	return restored.Revision, err
}

func (w *Writer) take(found *Found) error {
	_, err := w.holder.Advance(found.Head.Changes)

	return err
}
