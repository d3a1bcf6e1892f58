package cwstore

import (
	"context"

	"carobward.example/carobward"
)

// faults maps the letters of a Script to faults.
var faults = map[byte]Fault{'.': NoFault, 'd': Down, 'l': Lost, 'x': Dropped}

// Script returns a function for Store.Fault that applies one fault after the
// other to the writes and, separately, to the reads. The last one applies to
// all later calls. A letter is a fault: "." for NoFault, "d" for Down, "l" for
// Lost, "x" for Dropped.
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

// Switch is a Store that can be replaced by another while no call is in flight.
type Switch struct{ carobward.Store }

// Hanging is a store whose calls return only when their context ends.
type Hanging struct{}

// Get fails once ctx ends.
func (Hanging) Get(ctx context.Context, _ carobward.Key) (carobward.Entry, error) {
	<-ctx.Done()

	return carobward.Entry{}, carobward.ErrStoreDown
}

// Swap fails once ctx ends.
func (Hanging) Swap(ctx context.Context, _ carobward.Key, _ []byte, _ carobward.StoreIndex) error {
	<-ctx.Done()

	return carobward.ErrStoreDown
}

// Watch fails once ctx ends.
func (f Hanging) Watch(ctx context.Context, key carobward.Key, _ carobward.StoreIndex) (carobward.Entry, error) {
	return f.Get(ctx, key)
}
