package carobward

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Item is one value of a Feed with the store index of its last change.
type Item struct {
	Key   Key
	Value []byte
	Index StoreIndex
	// Deleted is set if the key was deleted at Index; Value is empty then.
	Deleted bool
}

// Gap is a span of the store's history whose changes are not known: a replica at index From
// was replaced by a listing of all keys at index To, and keys may have been created and
// deleted in between.
type Gap struct{ From, To StoreIndex }

// Contains reports whether an index is within the gap: a replica at that index may lack
// changes that are not known.
func (g Gap) Contains(index StoreIndex) bool { return g.From < index && index < g.To }

// IsEmpty reports whether no replica can be at an index within the gap.
func (g Gap) IsEmpty() bool { return g.To <= g.From+1 }

// Rank orders the values that one writer wrote under a key, independent of the store's
// indexes, which repeat after the store is restored from a backup. A value of a lower rank
// is older. The zero rank is unknown and has no order.
type Rank struct {
	// Start is the start time of the writing process. Write is a counter or version of its
	// writes.
	Start Start
	Write uint64
}

// Before reports whether a value is known to be older than another one. A value whose process gives
// its start time and one whose process does not have no order.
func (r Rank) Before(other Rank) bool {
	if r == (Rank{}) || other == (Rank{}) || (r.Start == 0) != (other.Start == 0) {
		return false
	}

	if r.Start != other.Start {
		return r.Start < other.Start
	}

	return r.Write < other.Write
}

// RetainedItem is an item that the store acknowledged and that stays effective although the
// store lacks it now, has it again after its deletion, or has an older value.
type RetainedItem struct {
	Item

	Rank Rank
	// Remaining is how much longer the item stays effective at least, unless the store gets a
	// newer value.
	Remaining time.Duration
}

// Forever is how long items without an expiry are retained: longer than any VM lives.
const Forever = 10 * 365 * 24 * time.Hour

// Changes are items that were written or deleted.
type Changes struct {
	// Items holds the newest state of each changed key.
	Items []Item
	// After and Index delimit the changes: Items has all changes after After, up to Index.
	// If Full is set, After does not apply.
	After StoreIndex
	Index StoreIndex
	// Era is the era of the store and of Index. AfterEra is the era of After if that is an
	// earlier one: the changes then lead from one era to the next, and apply only to a
	// replica that is exactly at After.
	Era      StoreEra
	AfterEra StoreEra
	// Gap is the part of the history of which the sender itself knows no changes: these
	// changes can't bring a replica up to date whose index is within it. Gap may extend
	// beyond Index if the store changed while its keys were listed page by page.
	Gap Gap
	// Full is set if Items has all keys that exist: a key that is not among them does not
	// exist.
	Full bool
	// Retained are items of the sender that stay effective besides Items.
	Retained []RetainedItem
	// Unreadable is how many items of the store's answer can't be decoded and are left out.
	Unreadable int
	// HoldDeletes is how much longer deletions in the store are not trusted.
	HoldDeletes time.Duration
}

// Size returns the total size of all keys and values.
func (c *Changes) Size() ByteCount {
	size := 0
	for i := range c.Items {
		size += len(c.Items[i].Key) + len(c.Items[i].Value)
	}

	return ByteCount(size)
}

// ErrHistoryGone is returned by a Feed that no longer has the changes since an index. All
// keys have to be listed again.
const ErrHistoryGone = errors.ConstError("store: the history since then is no longer kept")

// Feed is the part of the platform's store that an entry VM follows: the operators'
// configuration and the list of backend servers.
type Feed interface {
	// List returns all keys.
	List(ctx context.Context) (Changes, error)
	// Read returns one key. The value may be seconds old; in return the read costs the
	// store almost nothing. For a key that does not exist it returns an item with Deleted
	// set.
	Read(ctx context.Context, key Key) (Item, error)
	// Watch returns the changes after an index as soon as there are any, or none once the
	// wait is over. It returns ErrHistoryGone, ErrStoreRefused or ErrStoreDown.
	Watch(ctx context.Context, after StoreIndex, wait time.Duration) (Changes, error)
	// Write changes keys that entry VMs own. It returns ErrConflict or ErrStoreRefused if
	// nothing was written, and ErrStoreUnknown if that is not known.
	Write(ctx context.Context, b Batch) error
}

// Batch is a change of several keys that takes effect as a whole or not at all.
type Batch struct {
	// Absent are keys that must not exist; otherwise the write fails with ErrConflict.
	Absent []Key
	// Writes are keys with their new values.
	Writes []Item
	// Deletes are the keys to delete. They need not exist.
	Deletes []Key
}

// PrefixOwn is the prefix of all keys that entry VMs write.
const PrefixOwn = "carobward/"

// KeyFleet is the key of the list of entry VMs, which entry VMs write themselves.
const KeyFleet Key = PrefixOwn + "fleet"

// ErrStoreRefused is returned if the store answers but does not serve this VM now.
const ErrStoreRefused = errors.ConstError("store: refused")
