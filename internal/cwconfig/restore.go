package cwconfig

import (
	"context"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrNothingToRestore means that the store has the effective configuration of
// this entry VM or one that continues from it.
const ErrNothingToRestore = errors.ConstError("config: the store has the configuration in force or a later one, nothing to restore")

// Restore writes the effective configuration of this entry VM to a store that
// has an older or a diverged one. It becomes a new revision, higher than any in
// the store or in the fleet, so that each entry VM adopts it. The change needs
// an ID and an author. The errors are those of Apply, or ErrNothingToRestore.
func (w *Writer) Restore(ctx context.Context, change Change, fleet carobward.Revision) (carobward.Revision, error) {
	return w.retry(ctx, func() (carobward.Revision, error) { return w.tryRestore(ctx, change, fleet) })
}

func (w *Writer) tryRestore(ctx context.Context, change Change, fleet carobward.Revision) (carobward.Revision, error) {
	known := w.holder.Config()

	found, err := w.reader.Head(ctx)
	if err != nil {
		return 0, err
	}

	if done, ok := findChange(found.Head.Changes, change.ID); ok {
		return done.Revision, w.advance(&found)
	}

	if !isBehind(&found.Head, known) {
		return 0, ErrNothingToRestore
	}

	old, _, err := w.reader.snapshot(ctx)
	if err != nil {
		return 0, err
	}

	set := known.Set
	highest := max(known.Revision, found.Head.Revision(), old.Revision, fleet)
	restored := Change{ID: change.ID, Author: change.Author, Base: highest, Revision: highest + 1, FullSet: &set}

	if restored, err = restored.normalized(); err != nil {
		return 0, err
	}

	if restored.Chain, err = restored.chainAfter(""); err != nil {
		return 0, err
	}

	head := Head{Format: format, Changes: []Change{restored}}
	if err := w.swap(ctx, HeadKey, head, found.Index); err != nil {
		return 0, err
	}

	_, err = w.holder.Advance(head.Changes)

	return restored.Revision, err
}

func (w *Writer) advance(found *StoreState) error {
	_, err := w.holder.Advance(found.Head.Changes)

	return err
}
