package cwquarantine

import (
	"context"
	"time"

	"carobward.example/carobward"
)

// removeKeys deletes keys from the store. A crash that was not yet part of any call is only dropped
// from the queue. After a call, the store may have the crash even if the reply was lost or has not
// been handled yet.
func (k *Keeper) removeKeys(keys []carobward.Key) {
	deletes := map[carobward.Key][]byte{}

	k.mutex.Lock()
	for _, key := range keys {
		if value, queued := k.pending[key]; queued && value != nil && !k.attempted[key] {
			delete(k.pending, key)
		} else {
			deletes[key] = nil
		}
	}
	k.mutex.Unlock()

	k.enqueue(deletes)
}

// enqueue queues changes for Run.
func (k *Keeper) enqueue(changes map[carobward.Key][]byte) {
	k.mutex.Lock()
	for key, value := range changes {
		// Replacing a queued change needs no room, and a removal must not be dropped.
		if _, queued := k.pending[key]; queued || len(k.pending) < maxPending {
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

// Run writes the queued changes to the store until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.canWrite() {
			carobward.Sleep(ctx, batchDelay)
			k.write(ctx)

			continue
		}

		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(pollInterval):
			k.rewriteLost(k.Era())
			k.cleanUp(k.Clock.Now())
		}
	}
}

// canWrite reports whether there are changes to write and the store is available. Calls to an
// unavailable store are billed, too, and the entry VMs that follow the store notice when it
// answers again.
func (k *Keeper) canWrite() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return len(k.pending) > 0 && k.Clock.Now().Sub(k.LastAnswer()) < availableTime
}

// write writes some of the changes in one call.
func (k *Keeper) write(ctx context.Context) {
	batch := k.batch()
	err := k.Feed.Write(ctx, batch)

	if err == nil {
		k.handleWritten(batch)
		k.backoff = 0

		return
	}

	k.backoff = min(maxBackoff, max(minBackoff, 2*k.backoff))
	k.Log.Info("Records could not be written to the store.", "keys", len(batch.Writes)+len(batch.Deletes), "again", k.backoff.String(), "cause", err.Error())
	carobward.Sleep(ctx, k.backoff)
}

// batch returns the changes of one call.
func (k *Keeper) batch() carobward.Batch {
	var b carobward.Batch

	k.mutex.Lock()
	defer k.mutex.Unlock()

	for key, value := range k.pending {
		if len(b.Writes)+len(b.Deletes) == maxBatch {
			break
		}

		k.attempted[key] = true

		if value == nil {
			b.Deletes = append(b.Deletes, key)
		} else {
			b.Writes = append(b.Writes, carobward.Item{Key: key, Value: value})
		}
	}

	return b
}

// handleWritten finishes changes that were written, except where the queued change of a key was
// replaced by an opposite one meanwhile.
func (k *Keeper) handleWritten(b carobward.Batch) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	for i := range b.Writes {
		if key := b.Writes[i].Key; k.pending[key] != nil {
			k.finish(key)
		}
	}

	for _, key := range b.Deletes {
		if value, ok := k.pending[key]; ok && value == nil {
			k.finish(key)
		}
	}
}

// finish removes a change that the store has from the queue; the mutex must be held.
func (k *Keeper) finish(key carobward.Key) {
	k.addUnconfirmed(key, k.pending[key])
	delete(k.pending, key)
	delete(k.attempted, key)
}

// addUnconfirmed records a value that the store acknowledged, or a removal as nil; the mutex must
// be held.
func (k *Keeper) addUnconfirmed(key carobward.Key, value []byte) {
	if len(k.unconfirmed) < maxPending {
		k.unconfirmed[key] = value
	}
}

// confirm forgets unconfirmed changes that have arrived in the replica.
func (k *Keeper) confirm(items []carobward.Item) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	for i := range items {
		delete(k.unconfirmed, items[i].Key)
	}
}

// rewriteLost queues the unconfirmed changes again if the store is in another era: it was restored
// from a backup and may have lost them.
func (k *Keeper) rewriteLost(era carobward.StoreEra) {
	k.mutex.Lock()
	lost := k.unconfirmed

	if era == k.era {
		lost = nil
	} else {
		k.era, k.unconfirmed = era, map[carobward.Key][]byte{}
	}
	k.mutex.Unlock()

	if len(lost) > 0 {
		k.Log.Info("Writing records again that the store may have lost.", "keys", len(lost), "era", era)
		k.enqueue(lost)
	}
}

// cleanUp deletes outdated records if this entry VM is the one that does so for the whole fleet.
func (k *Keeper) cleanUp(now time.Time) {
	if now.Sub(k.lastCleanup) < cleanupInterval || !k.Leads() {
		return
	}

	k.lastCleanup = now

	if keys := k.Table.Outdated(now, maxBatch); len(keys) > 0 {
		k.Log.Info("Deleting outdated records.", "keys", len(keys))
		k.removeKeys(keys)
	}
}

// Pending returns the number of changes that are queued for the store.
func (k *Keeper) Pending() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return len(k.pending)
}

// Dropped returns the number of changes that were dropped because the queue was full.
func (k *Keeper) Dropped() int64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return k.dropped
}
