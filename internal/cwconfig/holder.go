package cwconfig

import (
	"sync"
	"sync/atomic"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// Holder holds the configuration in force on this entry VM. Its revision
// only rises.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[inForce]
}

type inForce struct {
	config *Config
	table  *cwtarget.Table
}

// NewHolder returns a holder of the empty configuration.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&inForce{config: &Config{}, table: cwtarget.NewTable(nil)})

	return h
}

// Config returns the configuration in force. It must not be changed.
func (h *Holder) Config() *Config { return h.current.Load().config }

// Targets returns the targets in force.
func (h *Holder) Targets() *cwtarget.Table { return h.current.Load().table }

// Revision returns the revision in force.
func (h *Holder) Revision() carobward.Revision { return h.Config().Revision }

// Adopt puts a configuration in force if its revision is higher than the one
// that is. It tells whether it did.
func (h *Holder) Adopt(c *Config) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if c.Revision <= h.Revision() {
		return false
	}

	h.current.Store(&inForce{config: c, table: cwtarget.NewTable(c.Set.Targets)})

	return true
}
