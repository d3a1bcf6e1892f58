package cwquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward"
)

// The paces of the store's calls, which are paid for.
const (
	// gatherTime is the pause before a call in which further records gather: the
	// requests beside the one that ended a server break off in the same moment.
	gatherTime = 20 * time.Millisecond
	// batchMost is how many keys one call of the store changes.
	batchMost = 32
	// pendingMost bounds the changes that wait for the store, some 500 bytes each.
	pendingMost = 256
	// backFirst and backMost bound the pause after a failed call; it doubles.
	backFirst = 150 * time.Millisecond
	backMost  = 2400 * time.Millisecond
	// idleTime is the pause between looks at whether the store serves anybody.
	idleTime = 100 * time.Millisecond
	// servedTime is for how long after its last answer to any entry VM the store
	// counts as there.
	servedTime = 2 * time.Second
	// cleanTime is the time between calls that clear outdated records away.
	cleanTime = 10 * time.Second
)

// Options are the parts that a Keeper needs.
type Options struct {
	VM    carobward.VMID
	Table *Table
	Feed  carobward.Feed
	Clock carobward.Clock
	Log   logr.Logger
	// Word returns when the store last answered any entry VM, as far as was heard.
	Word func() time.Time
	// Leads tells whether this entry VM clears outdated records away.
	Leads func() bool
}

// Keeper shares the crashes that this entry VM sees with all others, through the store.
type Keeper struct {
	Options

	wake chan struct{}

	mutex sync.Mutex
	// pending has the values to be written by key; nil removes a key.
	pending map[carobward.Key][]byte
	dropped int64
	back    time.Duration
	cleaned time.Time
}

// New returns a keeper that shares nothing before Run.
func New(o Options) *Keeper {
	o.Log = o.Log.WithName("quarantine")

	return &Keeper{Options: o, wake: make(chan struct{}, 1), pending: map[carobward.Key][]byte{}, cleaned: o.Clock.Now()}
}

// Took takes changes of the copy of the store.
func (k *Keeper) Took(items []carobward.Item) {
	change := k.Table.Put(items, k.Clock.Now())

	for i := range change.Added {
		c := &change.Added[i]
		k.Log.Info("A server ended under a request.", "print", c.Print.String(), "server", c.Server, "vm", c.VM, "request", c.Request)
	}

	for _, p := range change.Held {
		k.Log.Info("A request is quarantined.", "print", p.String(), "crashes", k.Table.Crashes(p, k.Clock.Now()))
	}

	for _, p := range change.Freed {
		k.Log.Info("A request is quarantined no more.", "print", p.String())
	}

	for _, err := range change.Wrong {
		k.Log.Error(err, "A record can't be read and is passed over.")
	}
}

// Ended notes that a server ended under a request here. It tells whether others
// have to know at once: the request ended servers before.
func (k *Keeper) Ended(c Crash) bool {
	now := k.Clock.Now()
	k.Table.Add(c, now)

	return k.Table.Crashes(c.Print, now) > 1
}

// Share tells the other entry VMs of a crash.
func (k *Keeper) Share(c Crash) {
	raw, err := c.encode()
	if err != nil {
		k.Log.Error(err, "A crash can't be encoded and is not shared.", "print", c.Print.String())

		return
	}

	k.put(map[carobward.Key][]byte{c.key(): raw})
}

// Answered notes that a request was answered, which ends its quarantine.
func (k *Keeper) Answered(p Print) {
	keys := k.Table.Answered(p)
	if len(keys) == 0 {
		return
	}

	k.Log.Info("A request under which servers ended was answered.", "print", p.String(), "crashes", len(keys))
	k.remove(keys)
}

// remove clears keys from the store. A crash that was not shared yet never is.
func (k *Keeper) remove(keys []carobward.Key) {
	gone := map[carobward.Key][]byte{}

	k.mutex.Lock()
	for _, key := range keys {
		if value, waits := k.pending[key]; waits && value != nil {
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
		if len(k.pending) < pendingMost {
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
			pause(ctx, gatherTime)
			k.write(ctx)

			continue
		}

		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(idleTime):
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
	pause(ctx, k.back)
}

// batch returns the changes of one call.
func (k *Keeper) batch() carobward.Batch {
	var b carobward.Batch

	k.mutex.Lock()
	defer k.mutex.Unlock()

	for key, value := range k.pending {
		switch {
		case len(b.Writes)+len(b.Deletes) == batchMost:
			return b
		case value == nil:
			b.Deletes = append(b.Deletes, key)
		default:
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
		if k.pending[b.Writes[i].Key] != nil {
			delete(k.pending, b.Writes[i].Key)
		}
	}

	for _, key := range b.Deletes {
		if value, ok := k.pending[key]; ok && value == nil {
			delete(k.pending, key)
		}
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

// Try asks for the one send of a trial, which one entry VM of all gets.
func (k *Keeper) Try(p Print, number int) bool {
	t := Trial{Print: p, Number: number, At: k.Clock.Now(), VM: k.VM}

	raw, err := t.encode()
	if err == nil {
		// The call has a bound of its own; an ended context would end others, too.
		err = k.Feed.Write(context.Background(), carobward.Batch{
			Absent: []carobward.Key{t.key()}, Writes: []carobward.Item{{Key: t.key(), Value: raw}},
		})
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

	k.Log.Info("Asked for a trial of a quarantined request.", "print", p.String(), "number", number, "granted", err == nil, "cause", cause)

	return err == nil
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

		keys = keys[n:]
	}

	k.Log.Info("A quarantine was lifted.", "print", p.String())

	return nil
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

// pause waits for a time or for the end of the context.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
