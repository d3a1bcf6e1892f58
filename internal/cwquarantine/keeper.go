package cwquarantine

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

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
	// tryTime is the least time between calls that ask for a trial, where the store
	// refuses them: a quarantined request may come many times a second.
	tryTime = time.Second
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
	// Era returns the store's era, as the copy has it.
	Era func() carobward.StoreEra
}

// Keeper shares the crashes that this entry VM sees with all others, through the store.
type Keeper struct {
	Options

	wake chan struct{}

	mutex sync.Mutex
	// pending has the values to be written by key; nil removes a key.
	pending map[carobward.Key][]byte
	// sent has the keys among them that the store may have: a call with them began.
	sent map[carobward.Key]bool
	// unseen has what the store acknowledged and the copy has not had yet: a store that
	// comes back from a copy may have lost it, and nobody else knows. Era is that in
	// which it was written.
	unseen  map[carobward.Key][]byte
	era     carobward.StoreEra
	dropped int64
	back    time.Duration
	cleaned time.Time
	// tried is when a trial was last asked for.
	tried time.Time
}

// New returns a keeper that shares nothing before Run.
func New(o Options) *Keeper {
	o.Log = o.Log.WithName("quarantine")

	return &Keeper{Options: o, wake: make(chan struct{}, 1), pending: map[carobward.Key][]byte{}, sent: map[carobward.Key]bool{}, unseen: map[carobward.Key][]byte{}, cleaned: o.Clock.Now()}
}

// Took takes changes of the copy of the store.
func (k *Keeper) Took(items []carobward.Item) {
	k.saw(items)
	change := k.Table.Put(items, k.Clock.Now())

	for i := range change.Added {
		c := &change.Added[i]
		k.Log.Info("A server ended under a request.", "print", c.Print.String(), "server", c.Server, "vm", c.VM, "request", c.Request)
	}

	for _, p := range change.Held {
		k.logHeld(p)
	}

	for _, p := range change.Freed {
		k.Log.Info("A request is quarantined no more.", "print", p.String())
	}

	k.dropAlone(change.Alone)

	for _, err := range change.Wrong {
		k.Log.Error(err, "A record can't be read and is passed over.")
	}
}

// dropAlone clears trials of this entry VM that were granted after an answer elsewhere had
// cleared the crashes and all trials then known. One that stayed would be taken for the
// trial of the same request when servers end under it again.
func (k *Keeper) dropAlone(list []Trial) {
	for i := range list {
		if t := &list[i]; t.VM == k.VM {
			k.Log.Info("A trial came after the answer and is cleared away.", "print", t.Print.String(), "number", t.Number)
			k.remove([]carobward.Key{t.key()})
		}
	}
}

func (k *Keeper) logHeld(p Print) {
	k.Log.Info("A request is quarantined.", "print", p.String(), "crashes", k.Table.Crashes(p, k.Clock.Now()))
}

// Ended notes that a server ended under a request here. It tells whether others
// have to know at once: the request ended servers before.
func (k *Keeper) Ended(c Crash) bool {
	now := k.Clock.Now()
	before := k.Table.Decide(c.Print, now).Held
	k.Table.Add(c, now)

	if !before && k.Table.Decide(c.Print, now).Held {
		k.logHeld(c.Print)
	}

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
