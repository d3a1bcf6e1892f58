package cwconfig

import (
	"sync"
	"sync/atomic"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// The bounds of the changes that a holder keeps for peers and writers.
const (
	recentMost  = 256
	recentBytes = 512_000
)

// Holder holds the configuration in force on this entry VM. Its revision
// only rises.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[inForce]
	// raised has a token after the revision rose.
	raised chan struct{}
}

type inForce struct {
	config *Config
	table  *cwtarget.Table
	// recent holds the last changes up to the revision, oldest first. It is
	// empty after a full copy.
	recent []Change
}

// NewHolder returns a holder of the empty configuration.
func NewHolder() *Holder {
	h := &Holder{raised: make(chan struct{}, 1)}
	h.current.Store(&inForce{config: &Config{}, table: cwtarget.NewTable(nil)})

	return h
}

// Config returns the configuration in force. It must not be changed.
func (h *Holder) Config() *Config { return h.current.Load().config }

// Targets returns the targets in force.
func (h *Holder) Targets() *cwtarget.Table { return h.current.Load().table }

// Revision returns the revision in force.
func (h *Holder) Revision() carobward.Revision { return h.Config().Revision }

// Recent returns the last changes up to the revision in force, oldest first.
// They must not be changed.
func (h *Holder) Recent() []Change { return h.current.Load().recent }

// Adopt puts a whole configuration in force if its revision is higher than
// the one that is. It tells whether it did.
func (h *Holder) Adopt(c *Config) bool { return h.adoptWith(c, nil) }

// Advance puts the result of changes in force. It returns ErrGap where a
// full copy is needed, a Diverged, or ErrUnreadable; then nothing changes.
// It tells whether the revision rose.
func (h *Holder) Advance(changes []Change) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	next, err := h.Config().Replay(changes)
	if err != nil {
		return false, err
	}

	return h.adopt(next, changes), nil
}

// adoptWith is Adopt with the last changes that led to the configuration.
func (h *Holder) adoptWith(c *Config, changes []Change) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	return h.adopt(c, changes)
}

// adopt puts a configuration in force. The caller holds the mutex.
func (h *Holder) adopt(c *Config, changes []Change) bool {
	now := h.current.Load()
	if c.Revision <= now.config.Revision {
		return false
	}

	h.current.Store(&inForce{
		config: c,
		table:  cwtarget.NewTable(c.Set.Targets),
		recent: extend(now.recent, changes),
	})

	select {
	case h.raised <- struct{}{}:
	default:
	}

	return true
}

// extend appends the new ones of changes to recent ones, within the bounds.
// Changes that do not follow the recent ones replace them.
func extend(recent, changes []Change) []Change {
	if len(changes) == 0 {
		return nil
	}

	var last carobward.Revision
	if len(recent) > 0 {
		last = recent[len(recent)-1].Revision
	}

	if changes[0].Revision > last+1 {
		recent = nil
		last = 0
	}

	all := append([]Change(nil), recent...)

	for i := range changes {
		if changes[i].Revision > last {
			all = append(all, changes[i])
		}
	}

	return bounded(all)
}

// bounded drops the oldest changes beyond the bounds.
func bounded(all []Change) []Change {
	first := len(all)
	total := 0

	for first > 0 && len(all)-first < recentMost {
		total += size(&all[first-1])
		if total > recentBytes {
			break
		}

		first--
	}

	return all[first:]
}
