// Package cwmap provides a concurrent map that creates missing values on first
// access.
package cwmap

import "sync"

// Map is a map that is safe for concurrent use.
type Map[K comparable, V any] struct {
	make func() V

	mutex  sync.RWMutex
	values map[K]V
}

// New returns an empty map that creates missing values with make.
func New[K comparable, V any](make func() V) *Map[K, V] {
	return &Map[K, V]{make: make, values: map[K]V{}}
}

// Get returns the value of a key, which it creates if it is missing.
func (m *Map[K, V]) Get(key K) V {
	m.mutex.RLock()
	v, ok := m.values[key]
	m.mutex.RUnlock()

	if ok {
		return v
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	if v, ok = m.values[key]; !ok {
		v = m.make()
		m.values[key] = v
	}

	return v
}

// Retain deletes the values for which keep returns false.
func (m *Map[K, V]) Retain(keep func(K, V) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	for k, v := range m.values {
		if !keep(k, v) {
			delete(m.values, k)
		}
	}
}
