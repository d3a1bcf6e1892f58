package carobward

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Item is one value of a Feed with the store's index of its last change.
type Item struct {
	Key   Key
	Value []byte
	Index StoreIndex
	// Gone tells that the key was removed at Index; there is no value.
	Gone bool
}

// Gap is a span of the store's history that is not known: from a copy at From a
// list of all keys at To was taken, and keys may have come and gone between.
type Gap struct{ From, To StoreIndex }

// Has tells whether a copy at an index needs changes that are not known.
func (g Gap) Has(index StoreIndex) bool { return g.From < index && index < g.To }

// IsEmpty tells whether no copy can be within the gap.
func (g Gap) IsEmpty() bool { return g.To <= g.From+1 }

// Rank orders what one writer wrote under a key, whatever the store's indexes say: a value
// of a lower rank is an older one. A zero rank is not known and has no order.
type Rank struct {
	// Start is that of the writing process, Write counts or names its writes.
	Start Start
	Write uint64
}

// Before tells whether a value is known to be older than another one.
func (r Rank) Before(other Rank) bool {
	if r == (Rank{}) || other == (Rank{}) {
		return false
	}

	if r.Start != other.Start {
		return r.Start < other.Start
	}

	return r.Write < other.Write
}

// Kept is an item that the store acknowledged and that stays in force though the store now
// lacks it, has it again after its removal, or has an older value.
type Kept struct {
	Item

	Rank Rank
	// For is for how much longer it stays at least, unless the store has a newer value.
	For time.Duration
}

// Always is for how long what has no end is kept: some lifetimes of a VM.
const Always = 10 * 365 * 24 * time.Hour

// Changes are items that were written or removed.
type Changes struct {
	// Items holds the newest state of each changed key.
	Items []Item
	// After and Index are the store's indexes between which these changes are
	// complete, unless Whole is set: all that changed after After, up to Index.
	After StoreIndex
	Index StoreIndex
	// Era is that of the store and of Index. AfterEra is that of After where it is an
	// earlier one: the changes lead from one era into another, and change a copy at After
	// alone.
	Era      StoreEra
	AfterEra StoreEra
	// Gap is a part of the history of which the sender itself knows no changes in
	// between: who has these changes can't bring a copy up to date that is within
	// it. It may go beyond Index where a list was taken in pages meanwhile.
	Gap Gap
	// Whole tells that Items are all keys there are: what is not among them
	// does not exist.
	Whole bool
	// Kept are items of the sender that stay in force beside Items.
	Kept []Kept
	// Hold is for how much longer removals by the store prove nothing.
	Hold time.Duration
}

// Size returns the bytes of all keys and values.
func (c *Changes) Size() ByteCount {
	size := 0
	for i := range c.Items {
		size += len(c.Items[i].Key) + len(c.Items[i].Value)
	}

	return ByteCount(size)
}

// ErrHistory is the error of a Feed that no longer has the changes since an
// index. All keys have to be listed again.
const ErrHistory = errors.ConstError("store: the history since then is no longer kept")

// Feed is the part of the platform's store that an entry VM follows: the
// operators' configuration and the list of backend servers.
type Feed interface {
	// List returns all keys.
	List(ctx context.Context) (Changes, error)
	// Read returns one key, which may be seconds old: such a read is nearly free.
	// A key that does not exist is Gone.
	Read(ctx context.Context, key Key) (Item, error)
	// Watch returns the changes after an index as soon as there are any, or
	// none after the wait. It returns ErrHistory, ErrStoreRefused or
	// ErrStoreDown.
	Watch(ctx context.Context, after StoreIndex, wait time.Duration) (Changes, error)
	// Write changes keys of ours. It returns ErrConflict or ErrStoreRefused if
	// nothing was written, and ErrStoreUnknown where that is not known.
	Write(ctx context.Context, b Batch) error
}

// Batch is a change of several keys that takes effect as a whole, or not at all.
type Batch struct {
	// Absent are keys that must not exist, or else it is an ErrConflict.
	Absent []Key
	// Writes are keys with their new values.
	Writes []Item
	// Deletes are keys that are removed. They need not exist.
	Deletes []Key
}

// PrefixOwn begins all keys that entry VMs write.
const PrefixOwn = "carobward/"

// KeyFleet has the list of entry VMs. Its value is ours.
const KeyFleet Key = PrefixOwn + "fleet"

// ErrStoreRefused is the error of a store that answers, but does not serve this
// VM now.
const ErrStoreRefused = errors.ConstError("store: refused")
