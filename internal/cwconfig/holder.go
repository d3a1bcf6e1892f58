package cwconfig

import (
	"sync"
	"sync/atomic"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// The limits of the changes that a Holder retains for peers and writers.
const (
	maxRecentChanges = 256
	maxRecentBytes   = 512_000
)

// Holder holds the effective configuration of this entry VM. Its revision never
// decreases.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[effectiveConfig]
	// advanced receives a value after the revision has increased.
	advanced chan struct{}
}

type effectiveConfig struct {
	config *Config
	table  *cwtarget.Table
	// recent holds the last changes up to the revision, oldest first. It is
	// empty after a full copy was adopted.
	recent []Change
}

// NewHolder returns a Holder with the empty configuration.
func NewHolder() *Holder {
	h := &Holder{advanced: make(chan struct{}, 1)}
	h.current.Store(&effectiveConfig{config: &Config{}, table: cwtarget.NewTable(nil)})

	return h
}

// Config returns the effective configuration. It must not be modified.
func (h *Holder) Config() *Config { return h.current.Load().config }

// Targets returns the effective targets.
func (h *Holder) Targets() *cwtarget.Table { return h.current.Load().table }

// Revision returns the effective revision.
func (h *Holder) Revision() carobward.Revision { return h.Config().Revision }

// Recent returns the last changes up to the effective revision, oldest first.
// They must not be modified.
func (h *Holder) Recent() []Change { return h.current.Load().recent }

// Adopt makes a configuration effective if its revision is higher than the
// current one. It reports whether it did.
func (h *Holder) Adopt(c *Config) bool { return h.adoptWith(c, nil) }

// Advance applies changes to the effective configuration and reports whether
// the revision increased. The error is ErrGap if a full copy is needed, a
// Diverged or ErrUnreadable; then nothing is changed.
func (h *Holder) Advance(changes []Change) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	next, err := h.Config().Replay(changes)
	if err != nil {
		return false, err
	}

	return h.adopt(next, changes), nil
}

// adoptWith is like Adopt and also retains the last changes that led to the
// configuration.
func (h *Holder) adoptWith(c *Config, changes []Change) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	return h.adopt(c, changes)
}

// adopt implements Adopt and Advance. The caller must hold the mutex.
func (h *Holder) adopt(c *Config, changes []Change) bool {
	old := h.current.Load()
	if c.Revision <= old.config.Revision {
		return false
	}

	h.current.Store(&effectiveConfig{
		config: c,
		table:  cwtarget.NewTable(c.Set.Targets),
		recent: appendRecent(old.recent, changes),
	})

	select {
	case h.advanced <- struct{}{}:
	default:
	}

	return true
}

// appendRecent returns the recent changes followed by the new ones, trimmed to
// the limits. If there is a gap between the two, the recent ones are discarded.
func appendRecent(recent, changes []Change) []Change {
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

	return trimRecent(all)
}

// trimRecent drops the oldest changes that exceed the limits.
func trimRecent(all []Change) []Change {
	first := len(all)
	total := 0

	for first > 0 && len(all)-first < maxRecentChanges {
		total += jsonSize(&all[first-1])
		if total > maxRecentBytes {
			break
		}

		first--
	}

	return all[first:]
}
