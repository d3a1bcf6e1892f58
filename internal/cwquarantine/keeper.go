package cwquarantine

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
)

// Parameters of the calls to the store. The platform bills each call.
const (
	// batchDelay is the pause before a call, so that further records can join the same batch: all
	// requests in flight on a crashed server fail at the same moment.
	batchDelay = 20 * time.Millisecond
	// maxBatch is how many keys one call of the store changes.
	maxBatch = 32
	// maxPending bounds the changes that are queued for the store, some 500 bytes each.
	maxPending = 256
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2400 * time.Millisecond
	// pollInterval is the time between checks whether the store is available, was restored from a
	// backup, or has outdated records.
	pollInterval = 100 * time.Millisecond
	// availableTime is for how long after its last answer to any entry VM the store counts as
	// available.
	availableTime = 2 * time.Second
	// claimInterval is the minimum time between calls that claim a trial. A quarantined request may
	// come many times a second, and each time would cause a call while the store refuses the claim.
	claimInterval = time.Second
	// cleanupInterval is the time between calls that delete outdated records.
	cleanupInterval = 10 * time.Second
)

// Options are the dependencies of a Keeper.
type Options struct {
	VM    carobward.VMID
	Table *Table
	Feed  carobward.Feed
	Clock carobward.Clock
	Log   logr.Logger
	// LastAnswer returns when the store last answered any entry VM, as far as this one knows.
	LastAnswer func() time.Time
	// Leads reports whether this entry VM deletes outdated records.
	Leads func() bool
	// Era returns the store's era according to the replica.
	Era func() carobward.StoreEra
}

// Keeper shares the crashes that this entry VM sees with all others through the store.
type Keeper struct {
	Options

	wake chan struct{}

	mutex sync.Mutex
	// pending holds the values to write by key; nil deletes a key.
	pending map[carobward.Key][]byte
	// attempted holds the pending keys that were part of a call: the store may have them, even if
	// the call failed.
	attempted map[carobward.Key]bool
	// unconfirmed holds the changes that the store acknowledged and that have not arrived in the
	// replica: a store that is restored from a backup may have lost them, and no other entry VM
	// knows them. The field era is the store's era in which they were written.
	unconfirmed map[carobward.Key][]byte
	era         carobward.StoreEra
	dropped     int64
	backoff     time.Duration
	lastCleanup time.Time
	// lastClaim is when this entry VM last claimed a trial.
	lastClaim time.Time
}

// New returns a keeper that shares nothing before Run.
func New(o Options) *Keeper {
	o.Log = o.Log.WithName("quarantine")

	return &Keeper{Options: o, wake: make(chan struct{}, 1), pending: map[carobward.Key][]byte{}, attempted: map[carobward.Key]bool{}, unconfirmed: map[carobward.Key][]byte{}, lastCleanup: o.Clock.Now()}
}

// HandleChanges handles changes of the replica of the store.
func (k *Keeper) HandleChanges(items []carobward.Item) {
	k.confirm(items)
	change := k.Table.Put(items, k.Clock.Now())

	for i := range change.Added {
		c := &change.Added[i]
		k.Log.Info("A server crashed with a request in flight.", "print", c.Fingerprint.String(), "server", c.Server, "vm", c.VM, "request", c.Request)
	}

	for _, fp := range change.Quarantined {
		k.logQuarantined(fp)
	}

	for _, fp := range change.Released {
		k.Log.Info("The quarantine of a request ended.", "print", fp.String())
	}

	k.removeOrphans(change.Orphans)

	for _, err := range change.Errors {
		k.Log.Error(err, "Skipping a record that can't be decoded.")
	}
}

// removeOrphans deletes trials of this entry VM whose request has no crashes any more: another
// entry VM got an answer and deleted the crashes and all trials that it knew of before this one was
// granted. A trial that stays would count if servers crash with the same request again.
func (k *Keeper) removeOrphans(list []Trial) {
	for i := range list {
		if t := &list[i]; t.VM == k.VM {
			k.Log.Info("Deleting a trial of a request that has been answered.", "print", t.Fingerprint.String(), "number", t.Number)
			k.removeKeys([]carobward.Key{t.key()})
		}
	}
}

func (k *Keeper) logQuarantined(fp Fingerprint) {
	k.Log.Info("A request is quarantined.", "print", fp.String(), "crashes", k.Table.Crashes(fp, k.Clock.Now()))
}

// RecordCrash records that a server crashed with a request of this entry VM in flight. It reports
// whether the crash has to be shared at once, because the request has crashed servers before.
func (k *Keeper) RecordCrash(c Crash) bool {
	now := k.Clock.Now()
	before := k.Table.Decide(c.Fingerprint, now).Quarantined
	k.Table.AddCrash(c, now)

	if !before && k.Table.Decide(c.Fingerprint, now).Quarantined {
		k.logQuarantined(c.Fingerprint)
	}

	return k.Table.Crashes(c.Fingerprint, now) > 1
}

// Share queues a crash to be written to the store for the other entry VMs.
func (k *Keeper) Share(c Crash) {
	raw, err := c.encode()
	if err != nil {
		k.Log.Error(err, "Could not encode a crash, it is not shared.", "print", c.Fingerprint.String())

		return
	}

	k.enqueue(map[carobward.Key][]byte{c.key(): raw})
}

// Answered records that a request was answered, which ends its quarantine.
func (k *Keeper) Answered(fp Fingerprint) {
	keys := k.Table.Answered(fp)
	if len(keys) == 0 {
		return
	}

	k.Log.Info("A request that was in flight when servers crashed was answered.", "print", fp.String(), "crashes", len(keys))
	k.removeKeys(keys)
}
