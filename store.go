package carobward

import (
	"context"

	"github.com/juju/errors"
)

// Key is the name of a value in the platform's store.
type Key string

// Entry is a value of the store.
type Entry struct {
	// Key is the name of the value.
	Key Key
	// Value is at most a megabyte.
	Value []byte
	// Index rises with each write of the key. Zero means that the key does not exist.
	Index StoreIndex
	// Next is the index at which the next watch of the key starts.
	Next StoreIndex
}

// The errors of a Store.
const (
	// ErrConflict: the key has changed since the base index. Nothing was written.
	ErrConflict = errors.ConstError("store: the key has changed")
	// ErrStoreUnknown: the reply was lost; the write may have taken effect.
	ErrStoreUnknown = errors.ConstError("store: the write may have taken effect")
	// ErrStoreDown: the store did not answer. Nothing was written.
	ErrStoreDown = errors.ConstError("store: no answer")
)

// Store is the platform's key-value service. Each call counts against its rate limits; a
// waiting watch counts as one call.
type Store interface {
	// Get returns the entry of a key. For a key that does not exist its index is 0.
	Get(ctx context.Context, key Key) (Entry, error)
	// Swap writes a value if the key's index still equals base; base 0 creates the key. It
	// returns ErrConflict, ErrStoreUnknown or ErrStoreDown.
	Swap(ctx context.Context, key Key, value []byte, base StoreIndex) error
	// Watch waits until the key changes after the Next of an earlier entry, or until the
	// store ends the watch, and returns the entry.
	Watch(ctx context.Context, key Key, after StoreIndex) (Entry, error)
}
