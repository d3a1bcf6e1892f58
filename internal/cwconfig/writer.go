package cwconfig

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The pause between two tries of a write grows from the first to the most,
// and is drawn at random from zero to that, so that writers part.
const (
	pauseFirst = 10 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
)

// ErrOlder tells that the store has an older or another configuration than
// the one in force here: it was restored. Nothing was changed.
const ErrOlder = errors.ConstError(`config: the store has an older or another configuration than the one in force; see "carobward apply --restore"`)

// Writer makes changes of the configuration in the store.
type Writer struct {
	store  carobward.Store
	reader *Reader
	holder *Holder
}

// NewWriter returns a writer that puts what it has accepted in force in the
// holder.
func NewWriter(store carobward.Store, holder *Holder) *Writer {
	return &Writer{store: store, reader: NewReader(store), holder: holder}
}

// Apply makes a change and returns the revision that it is accepted in. A
// change that the store has already is accepted as it is, so that it may be
// made again after a lost reply. The error is a Conflict, ErrBase, ErrOlder,
// ErrSize or what is wrong with the targets, or ErrStoreDown: then nothing
// was changed. Or it is ErrStoreUnknown: it may have been accepted.
func (w *Writer) Apply(ctx context.Context, change Change) (carobward.Revision, error) {
	change.Revision, change.Chain, change.Whole = 0, "", nil

	change, err := change.normal()
	if err != nil {
		return 0, err
	}

	return w.persist(ctx, func() (carobward.Revision, error) { return w.once(ctx, &change) })
}

// persist calls try until its outcome is known or ctx ends. Once a reply was
// lost, only the change itself or a conflict in the store is an outcome.
func (w *Writer) persist(ctx context.Context, try func() (carobward.Revision, error)) (carobward.Revision, error) {
	lost := false

	for pause := pauseFirst; ; pause = min(2*pause, pauseMost) {
		revision, err := try()

		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, carobward.ErrStoreUnknown):
			lost = true
		case errors.Is(err, carobward.ErrConflict):
		case !lost:
			return 0, err
		case settled(err):
			return 0, err
		}

		if !sleep(ctx, rand.N(pause)) {
			return 0, gaveUp(err, lost)
		}
	}
}

// settled tells that an error after a lost reply proves that the write did
// not take effect: the head has moved on without the change.
func settled(err error) bool {
	var conflict *Conflict

	return errors.As(err, &conflict)
}

func gaveUp(err error, lost bool) error {
	if lost {
		return errors.WithType(errors.Annotate(err, "config: a reply was lost"), carobward.ErrStoreUnknown)
	}

	return errors.Annotate(err, "config: other writers were faster")
}

// sleep waits and tells whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// once reads, checks and swaps. After a lost reply the next call finds out.
func (w *Writer) once(ctx context.Context, change *Change) (carobward.Revision, error) {
	found, err := w.read(ctx)
	if err != nil {
		return 0, err
	}

	changes := join(w.holder.Recent(), found.Head.Changes)

	if done, ok := find(changes, change.ID); ok {
		w.adopt(&found)

		return done.Revision, nil
	}

	if err := check(change, changes, found.Head.Revision()); err != nil {
		return 0, err
	}

	next, accepted, err := found.Config.With(*change)
	if err != nil {
		return 0, err
	}

	head, before := found.Head.With(accepted)
	if err := w.secure(ctx, found.Config, before); err != nil {
		return 0, err
	}

	if err := w.swap(ctx, HeadKey, head, found.Index); err != nil {
		return 0, err
	}

	w.holder.adoptWith(next, head.Changes)

	return next.Revision, nil
}

// read returns the store's state, unless it is not the one that the
// configuration in force leads to.
func (w *Writer) read(ctx context.Context) (Found, error) {
	known := w.holder.Config()

	found, err := w.reader.State(ctx, known)
	if err != nil {
		return found, err
	}

	if behind(&found.Head, known) {
		return found, ErrOlder
	}

	return found, nil
}

// behind tells that a head, read after a configuration was in force, does
// not lead on from it.
func behind(head *Head, known *Config) bool {
	if head.Revision() < known.Revision {
		return true
	}

	_, err := known.Replay(head.Changes)

	return diverged(err)
}

// join returns the head's changes after the ones known here that lead to
// them.
func join(recent, head []Change) []Change {
	if len(head) == 0 || len(recent) == 0 || head[0].Whole != nil {
		return head
	}

	var before []Change

	for i := range recent {
		if recent[i].Revision < head[0].Revision {
			before = append(before, recent[i])
		}
	}

	if len(before) == 0 || before[len(before)-1].Revision+1 != head[0].Revision {
		return head
	}

	return append(before, head...)
}

func (w *Writer) adopt(found *Found) { w.holder.adoptWith(found.Config, found.Head.Changes) }

// secure makes sure that the snapshot has at least a revision, before the
// head drops the changes up to it. A snapshot is always written from an
// accepted state, so that it does not matter who writes it.
func (w *Writer) secure(ctx context.Context, config *Config, before carobward.Revision) error {
	if before == 0 {
		return nil
	}

	have, index, err := w.reader.snapshot(ctx)
	if err != nil || have.Revision >= before {
		return err
	}

	err = w.swap(ctx, SnapshotKey, snapshot{Format: format, Config: *config}, index)
	if errors.Is(err, carobward.ErrStoreUnknown) {
		// No change hangs on this write; the next try reads it again.
		return carobward.ErrConflict
	}

	return err
}

func (w *Writer) swap(ctx context.Context, key carobward.Key, v any, base carobward.StoreIndex) error {
	raw, err := encode(v)
	if err != nil {
		return err
	}

	return w.store.Swap(ctx, key, raw, base)
}
