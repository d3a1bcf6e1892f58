package cwstore

import (
	"context"

	"carobward.example/carobward"
)

// faults are the letters of a Script.
var faults = map[byte]Fault{'.': Well, 'd': Down, 'l': Lost, 'x': Dropped}

// Script returns a Store's Fault that deals these faults to the writes and to
// the reads in turn, and the last one to all later ones. A letter is a fault:
// "." for Well, "d" for Down, "l" for Lost, "x" for Dropped.
func Script(writes, reads string) func(write bool, key carobward.Key) Fault {
	next := map[bool]string{true: writes, false: reads}

	return func(write bool, _ carobward.Key) Fault {
		s := next[write]
		if len(s) > 1 {
			next[write] = s[1:]
		}

		return faults[s[0]]
	}
}

// Switch is a Store that another one can be put in place of, while no call is
// under way.
type Switch struct{ carobward.Store }

// Frozen is a store whose calls return only when their context ends.
type Frozen struct{}

// Get waits and fails.
func (Frozen) Get(ctx context.Context, _ carobward.Key) (carobward.Entry, error) {
	<-ctx.Done()

	return carobward.Entry{}, carobward.ErrStoreDown
}

// Swap waits and fails.
func (Frozen) Swap(ctx context.Context, _ carobward.Key, _ []byte, _ carobward.StoreIndex) error {
	<-ctx.Done()

	return carobward.ErrStoreDown
}

// Watch waits and fails.
func (f Frozen) Watch(ctx context.Context, key carobward.Key, _ carobward.StoreIndex) (carobward.Entry, error) {
	return f.Get(ctx, key)
}
