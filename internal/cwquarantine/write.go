package cwquarantine

import (
	"context"
	"time"

	"carobward.example/carobward"
)

// remove clears keys from the store. A crash that was never on its way there never is;
// after a call whose reply was lost, or is just being taken, the store may have it.
func (k *Keeper) remove(keys []carobward.Key) {
	gone := map[carobward.Key][]byte{}

	k.mutex.Lock()
	for _, key := range keys {
		if value, waits := k.pending[key]; waits && value != nil && !k.sent[key] {
			delete(k.pending, key)
		} else {
			gone[key] = nil
		}
	}
	k.mutex.Unlock()

	k.put(gone)
}

// put has changes written by Run.
func (k *Keeper) put(changes map[carobward.Key][]byte) {
	k.mutex.Lock()
	for key, value := range changes {
		// What replaces a change that waits needs no room: a removal must not be dropped.
		if _, waits := k.pending[key]; waits || len(k.pending) < pendingMost {
			k.pending[key] = value
		} else {
			k.dropped++
		}
	}
	k.mutex.Unlock()

	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run writes what is to be shared until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.waits() {
			carobward.Pause(ctx, gatherTime)
			k.write(ctx)

			continue
		}

		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(idleTime):
			k.writeAgain(k.Era())
			k.clean(k.Clock.Now())
		}
	}
}

// waits tells whether there are changes to write and a store that may take them. Calls
// to one that is away are paid for, too; another entry VM asks it for all.
func (k *Keeper) waits() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return len(k.pending) > 0 && k.Clock.Now().Sub(k.Word()) < servedTime
}

// write writes some of the changes in one call.
func (k *Keeper) write(ctx context.Context) {
	batch := k.batch()
	err := k.Feed.Write(ctx, batch)

	if err == nil {
		k.wrote(batch)
		k.back = 0

		return
	}

	k.back = min(backMost, max(backFirst, 2*k.back))
	k.Log.Info("Records could not be written.", "keys", len(batch.Writes)+len(batch.Deletes), "again", k.back.String(), "cause", err.Error())
	carobward.Pause(ctx, k.back)
}

// batch returns the changes of one call.
func (k *Keeper) batch() carobward.Batch {
	var b carobward.Batch

	k.mutex.Lock()
	defer k.mutex.Unlock()

	for key, value := range k.pending {
		if len(b.Writes)+len(b.Deletes) == batchMost {
			break
		}

		k.sent[key] = true

		if value == nil {
			b.Deletes = append(b.Deletes, key)
		} else {
			b.Writes = append(b.Writes, carobward.Item{Key: key, Value: value})
		}
	}

	return b
}

// wrote notes that changes were written, unless others of a key came meanwhile.
func (k *Keeper) wrote(b carobward.Batch) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	for i := range b.Writes {
		if key := b.Writes[i].Key; k.pending[key] != nil {
			k.done(key)
		}
	}

	for _, key := range b.Deletes {
		if value, ok := k.pending[key]; ok && value == nil {
			k.done(key)
		}
	}
}

// done notes a change that the store has; the mutex is held.
func (k *Keeper) done(key carobward.Key) {
	k.acknowledge(key, k.pending[key])
	delete(k.pending, key)
	delete(k.sent, key)
}

// acknowledge notes a value that the store acknowledged, or a removal as nil; the mutex is
// held.
func (k *Keeper) acknowledge(key carobward.Key, value []byte) {
	if len(k.unseen) < pendingMost {
		k.unseen[key] = value
	}
}

// saw notes that the copy of the store has changes.
func (k *Keeper) saw(items []carobward.Item) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	for i := range items {
		delete(k.unseen, items[i].Key)
	}
}

// writeAgain has changes written again that the copy had not had before the store came back
// from a copy, in another era.
func (k *Keeper) writeAgain(era carobward.StoreEra) {
	k.mutex.Lock()
	lost := k.unseen

	if era == k.era {
		lost = nil
	} else {
		k.era, k.unseen = era, map[carobward.Key][]byte{}
	}
	k.mutex.Unlock()

	if len(lost) > 0 {
		k.Log.Info("Records that the store may have lost are written again.", "keys", len(lost), "era", era)
		k.put(lost)
	}
}

// clean clears outdated records away, on one entry VM for all.
func (k *Keeper) clean(now time.Time) {
	if now.Sub(k.cleaned) < cleanTime || !k.Leads() {
		return
	}

	k.cleaned = now

	if keys := k.Table.Outdated(now, batchMost); len(keys) > 0 {
		k.Log.Info("Outdated records are cleared away.", "keys", len(keys))
		k.remove(keys)
	}
}

// Waiting returns how many changes wait for the store.
func (k *Keeper) Waiting() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return len(k.pending)
}

// Dropped returns how many changes were dropped since too many waited.
func (k *Keeper) Dropped() int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return k.dropped
}
