package cwconfig

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The bound of the delay between two attempts of a write doubles from
// minRetryDelay to maxRetryDelay. The delay is drawn at random between zero and
// the bound, so that concurrent writers spread out.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// ErrStoreOutdated means that the store has an older or a diverged
// configuration, compared to the effective one here: it was restored from a
// backup. Nothing was changed.
const ErrStoreOutdated = errors.ConstError(`config: the store has an older or another configuration than the one in force; see "carobward apply --restore"`)

// Writer writes changes of the configuration to the store.
type Writer struct {
	store  carobward.Store
	reader *Reader
	holder *Holder
}

// NewWriter returns a Writer that also applies accepted changes to holder.
func NewWriter(store carobward.Store, holder *Holder) *Writer {
	return &Writer{store: store, reader: NewReader(store), holder: holder}
}

// Apply writes a change and returns the revision in which it is accepted. If the
// store already has a change with this ID, its revision is returned, so that a
// change can be retried after a lost reply. Nothing was changed if the error is
// a Conflict, ErrBaseTooOld, ErrStoreOutdated, ErrTooLarge, ErrStoreDown or a
// validation error of the targets. After ErrStoreUnknown the change may have
// been accepted.
func (w *Writer) Apply(ctx context.Context, change Change) (carobward.Revision, error) {
	change.Revision, change.Chain, change.FullSet = 0, "", nil

	change, err := change.normalized()
	if err != nil {
		return 0, err
	}

	return w.retry(ctx, func() (carobward.Revision, error) { return w.tryApply(ctx, &change) })
}

// retry calls attempt until its outcome is known or ctx ends. Once a reply was
// lost, the write may have taken effect: then only finding the change itself or
// a conflict in the store is an outcome, any other error is retried.
func (w *Writer) retry(ctx context.Context, attempt func() (carobward.Revision, error)) (carobward.Revision, error) {
	lost := false

	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		revision, err := attempt()

		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, carobward.ErrStoreUnknown):
			lost = true
		case errors.Is(err, carobward.ErrConflict):
		case !lost:
			return 0, err
		case provesNotWritten(err):
			return 0, err
		}

		if !sleep(ctx, rand.N(delay)) {
			return 0, giveUpError(err, lost)
		}
	}
}

// provesNotWritten reports whether an error after a lost reply proves that the
// write did not take effect: the head has advanced without the change.
func provesNotWritten(err error) bool {
	var conflict *Conflict

	return errors.As(err, &conflict)
}

func giveUpError(err error, lost bool) error {
	if lost {
		return errors.WithType(errors.Annotate(err, "config: a reply was lost"), carobward.ErrStoreUnknown)
	}

	return errors.Annotate(err, "config: other writers were faster")
}

// sleep waits for d and returns true, or returns false if ctx ends first.
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

// tryApply reads the store, checks the change and swaps the head. If the reply
// to the swap is lost, the next call finds out whether it took effect.
func (w *Writer) tryApply(ctx context.Context, change *Change) (carobward.Revision, error) {
	found, err := w.readState(ctx)
	if err != nil {
		return 0, err
	}

	changes := joinChanges(w.holder.Recent(), found.Head.Changes)

	if done, ok := findChange(changes, change.ID); ok {
		w.adopt(&found)

		return done.Revision, nil
	}

	if err := checkConflicts(change, changes, found.Head.Revision()); err != nil {
		return 0, err
	}

	next, accepted, err := found.Config.With(*change)
	if err != nil {
		return 0, err
	}

	head, before := found.Head.With(accepted)
	if err := w.ensureSnapshot(ctx, found.Config, before); err != nil {
		return 0, err
	}

	if err := w.swap(ctx, HeadKey, head, found.Index); err != nil {
		return 0, err
	}

	w.holder.adoptWith(next, head.Changes)

	return next.Revision, nil
}

// readState returns the store's state, or ErrStoreOutdated if it does not
// continue from the effective configuration.
func (w *Writer) readState(ctx context.Context) (StoreState, error) {
	known := w.holder.Config()

	found, err := w.reader.State(ctx, known)
	if err != nil {
		return found, err
	}

	if isBehind(&found.Head, known) {
		return found, ErrStoreOutdated
	}

	return found, nil
}

// isBehind reports whether a head does not continue from known, a configuration
// that was effective before the head was read.
func isBehind(head *Head, known *Config) bool {
	if head.Revision() < known.Revision {
		return true
	}

	_, err := known.Replay(head.Changes)

	return isDiverged(err)
}

// joinChanges returns the head's changes, preceded by the recent ones that lead
// up to them without a gap, if any.
func joinChanges(recent, head []Change) []Change {
	if len(head) == 0 || len(recent) == 0 || head[0].FullSet != nil {
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

func (w *Writer) adopt(found *StoreState) { w.holder.adoptWith(found.Config, found.Head.Changes) }

// ensureSnapshot makes sure that the snapshot has at least the revision before,
// as the next head drops the changes up to it. Snapshots are only written from
// accepted configurations, so any writer may write one.
func (w *Writer) ensureSnapshot(ctx context.Context, config *Config, before carobward.Revision) error {
	if before == 0 {
		return nil
	}

	have, index, err := w.reader.snapshot(ctx)
	if err != nil || have.Revision >= before {
		return err
	}

	err = w.swap(ctx, SnapshotKey, snapshot{Format: format, Config: *config}, index)
	if errors.Is(err, carobward.ErrStoreUnknown) {
		// No change depends on this write; the next attempt reads the
		// snapshot again.
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
