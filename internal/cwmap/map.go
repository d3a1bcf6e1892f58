// Package cwmap has a map whose values are made when they are first asked
// for.
package cwmap

import "sync"

// Map is safe for use by many goroutines.
type Map[K comparable, V any] struct {
	make func() V

	mutex  sync.RWMutex
	values map[K]V
}

// New returns an empty map. Its values are made by make.
func New[K comparable, V any](make func() V) *Map[K, V] {
	return &Map[K, V]{make: make, values: map[K]V{}}
}

// Of returns the value of a key, which is made if there is none.
func (m *Map[K, V]) Of(key K) V {
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

// Keep drops the values that keep refuses.
func (m *Map[K, V]) Keep(keep func(K, V) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	for k, v := range m.values {
		if !keep(k, v) {
			delete(m.values, k)
		}
	}
}
