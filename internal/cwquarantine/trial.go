package cwquarantine

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Try asks for the one send of a trial, which one entry VM of all gets.
func (k *Keeper) Try(t Trial) bool {
	if !k.mayTry(k.Clock.Now()) {
		return false
	}

	t.At, t.VM = k.Clock.Now(), k.VM

	raw, err := t.encode()
	if err == nil {
		// The call has a bound of its own; an ended context would end others, too.
		err = k.Feed.Write(context.Background(), carobward.Batch{
			Absent: []carobward.Key{t.key()}, Writes: []carobward.Item{{Key: t.key(), Value: raw}},
		})
	}

	if err == nil {
		k.mutex.Lock()
		k.acknowledge(t.key(), raw)
		k.mutex.Unlock()
	}

	// Where the reply was lost this may have been the trial. Others don't make it
	// then, nor does this entry VM.
	if !errors.Is(err, carobward.ErrStoreRefused) {
		k.Table.Tried(t)
	}

	cause := ""
	if err != nil {
		cause = err.Error()
	}

	k.Log.Info("Asked for a trial of a quarantined request.", "print", t.Print.String(), "number", t.Number, "granted", err == nil, "cause", cause)

	return err == nil
}

// mayTry tells whether the store is asked for a trial now.
func (k *Keeper) mayTry(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if now.Sub(k.tried) < tryTime || now.Sub(k.Word()) >= servedTime {
		return false
	}

	k.tried = now

	return true
}

// ErrNoSuch is the error of a request that is not remembered.
const ErrNoSuch = errors.ConstError("quarantine: no server ended under this request")

// Lift ends the quarantine of a request for all entry VMs, and returns once the store
// has it. The crashes under it count no more.
func (k *Keeper) Lift(p Print) error {
	keys := k.Table.Lift(p)
	if len(keys) == 0 {
		return ErrNoSuch
	}

	for len(keys) > 0 {
		n := min(len(keys), batchMost)

		if err := k.Feed.Write(context.Background(), carobward.Batch{Deletes: keys[:n]}); err != nil {
			k.remove(keys)
			k.Log.Info("A quarantine was lifted here, the store is told later.", "print", p.String(), "cause", err.Error())

			return err
		}

		k.mutex.Lock()
		for _, key := range keys[:n] {
			k.acknowledge(key, nil)
		}
		k.mutex.Unlock()

		keys = keys[n:]
	}

	k.Log.Info("A quarantine was lifted.", "print", p.String())

	return nil
}
