package cwquarantine

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ClaimTrial claims a trial in the store, and reports whether this entry VM got it. Only one of the
// entry VMs gets a trial.
func (k *Keeper) ClaimTrial(t Trial) bool {
	if !k.mayClaim(k.Clock.Now()) {
		return false
	}

	t.At, t.VM = k.Clock.Now(), k.VM

	raw, err := t.encode()
	if err == nil {
		// The request's context is not used: its end would abort other calls, too. The call has a
		// timeout of its own.
		err = k.Feed.Write(context.Background(), carobward.Batch{
			Absent: []carobward.Key{t.key()}, Writes: []carobward.Item{{Key: t.key(), Value: raw}},
		})
	}

	if err == nil {
		k.mutex.Lock()
		k.addUnconfirmed(t.key(), raw)
		k.mutex.Unlock()
	}

	// If the reply was lost, the claim may have succeeded. Then no entry VM makes the trial,
	// including this one.
	if !errors.Is(err, carobward.ErrStoreRefused) {
		k.Table.AddTrial(t)
	}

	cause := ""
	if err != nil {
		cause = err.Error()
	}

	k.Log.Info("Tried to claim a trial of a quarantined request.", "print", t.Fingerprint.String(), "number", t.Number, "granted", err == nil, "cause", cause)

	return err == nil
}

// mayClaim reports whether to claim a trial in the store now.
func (k *Keeper) mayClaim(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if now.Sub(k.lastClaim) < claimInterval || now.Sub(k.LastAnswer()) >= availableTime {
		return false
	}

	k.lastClaim = now

	return true
}

// ErrNotFound is the error of a request without crashes.
const ErrNotFound = errors.ConstError("quarantine: no server ended under this request")

// Lift ends the quarantine of a request on all entry VMs, and returns once the store has deleted
// its crashes.
func (k *Keeper) Lift(fp Fingerprint) error {
	keys := k.Table.Lift(fp)
	if len(keys) == 0 {
		return ErrNotFound
	}

	for len(keys) > 0 {
		n := min(len(keys), maxBatch)

		if err := k.Feed.Write(context.Background(), carobward.Batch{Deletes: keys[:n]}); err != nil {
			k.removeKeys(keys)
			k.Log.Info("Lifted a quarantine on this entry VM, the store will be updated later.", "print", fp.String(), "cause", err.Error())

			return err
		}

		k.mutex.Lock()
		for _, key := range keys[:n] {
			k.addUnconfirmed(key, nil)
		}
		k.mutex.Unlock()

		keys = keys[n:]
	}

	k.Log.Info("Lifted a quarantine.", "print", fp.String())

	return nil
}
