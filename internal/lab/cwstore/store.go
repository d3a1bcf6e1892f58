// Package cwstore is an in-memory carobward.Store with injected faults, for
// experiments and tests without a platform.
package cwstore

import (
	"context"
	"maps"
	"sync"

	"carobward.example/carobward"
)

// Fault is what happens to one call of a Store.
type Fault uint8

// The faults of a call.
const (
	// NoFault: the call succeeds.
	NoFault Fault = iota
	// Down: the call does not reach the store.
	Down
	// Lost: a write takes effect, but its reply is lost.
	Lost
	// Dropped: a write does not take effect, but the writer can't tell.
	Dropped
)

// Store is an in-memory carobward.Store.
type Store struct {
	// Fault, if set, decides the fault of each call.
	Fault func(write bool, key carobward.Key) Fault

	mutex   sync.Mutex
	index   carobward.StoreIndex
	entries map[carobward.Key]carobward.Entry
	changed chan struct{}
	written [][]byte
	calls   int
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{index: 1, entries: map[carobward.Key]carobward.Entry{}, changed: make(chan struct{})}
}

// fault counts a call and returns its fault. The caller holds the mutex.
func (s *Store) fault(write bool, key carobward.Key) Fault {
	s.calls++

	if s.Fault == nil {
		return NoFault
	}

	return s.Fault(write, key)
}

// Get returns the entry of a key.
func (s *Store) Get(_ context.Context, key carobward.Key) (carobward.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.fault(false, key) != NoFault {
		return carobward.Entry{Key: key}, carobward.ErrStoreDown
	}

	e := s.entries[key]
	e.Key = key
	e.Next = max(e.Index, 1)

	return e, nil
}

// Swap writes a value if the key's index is still base.
func (s *Store) Swap(_ context.Context, key carobward.Key, value []byte, base carobward.StoreIndex) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	fault := s.fault(true, key)

	switch fault {
	case Down:
		return carobward.ErrStoreDown
	case Dropped:
		return carobward.ErrStoreUnknown
	case NoFault, Lost:
	}

	if s.entries[key].Index != base {
		if fault == Lost {
			return carobward.ErrStoreUnknown
		}

		return carobward.ErrConflict
	}

	s.put(key, value)

	if fault == Lost {
		return carobward.ErrStoreUnknown
	}

	return nil
}

// put writes a value. The caller holds the mutex.
func (s *Store) put(key carobward.Key, value []byte) {
	value = append([]byte(nil), value...)

	s.index++
	s.entries[key] = carobward.Entry{Value: value, Index: s.index}
	s.written = append(s.written, value)

	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a value unconditionally.
func (s *Store) Put(key carobward.Key, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.put(key, value)
}

// Calls returns the number of reads and writes, and of the watches that have
// ended.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.calls
}

// Written returns all values that were written, in order.
func (s *Store) Written() [][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return append([][]byte(nil), s.written...)
}

// Watch waits until the key's index exceeds after, or until ctx ends.
func (s *Store) Watch(ctx context.Context, key carobward.Key, after carobward.StoreIndex) (carobward.Entry, error) {
	for {
		s.mutex.Lock()
		passed, changed := s.entries[key].Index > after, s.changed
		s.mutex.Unlock()

		if passed {
			return s.Get(ctx, key)
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return carobward.Entry{}, carobward.ErrStoreDown
		}
	}
}

// Save returns all entries, for Restore.
func (s *Store) Save() map[carobward.Key]carobward.Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return maps.Clone(s.entries)
}

// Restore replaces all entries by saved ones.
func (s *Store) Restore(saved map[carobward.Key]carobward.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.entries = maps.Clone(saved)
}
