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

// Changes are items that were written or removed.
type Changes struct {
	// Items holds the newest state of each changed key.
	Items []Item
	// Index is the store's index up to which these changes are complete.
	Index StoreIndex
	// Whole tells that Items are all keys there are: what is not among them
	// does not exist.
	Whole bool
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
	// Watch returns the changes after an index as soon as there are any, or
	// none after the wait. It returns ErrHistory, ErrStoreRefused or
	// ErrStoreDown.
	Watch(ctx context.Context, after StoreIndex, wait time.Duration) (Changes, error)
	// Write writes a key of ours. It returns ErrStoreRefused if nothing was
	// written, and ErrStoreUnknown where that is not known.
	Write(ctx context.Context, key Key, value []byte) error
}

// KeyFleet has the list of entry VMs. Its value is ours.
const KeyFleet Key = "carobward/fleet"

// ErrStoreRefused is the error of a store that answers, but does not serve this
// VM now.
const ErrStoreRefused = errors.ConstError("store: refused")
