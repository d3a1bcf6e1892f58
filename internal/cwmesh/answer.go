package cwmesh

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrEra is returned for an answer that the store gave before it was restored from a backup.
const ErrEra = errors.ConstError("mesh: the answer is from an earlier era of the store")

// TakeAnswer applies an answer of the store to a call that was made at the time asked, and
// sends it to the fleet. It returns how many items came into force. The error is
// carobward.ErrHistoryGone if the store was restored from a backup and the answer does not
// have all keys: the restored history does not contain the replica's index.
func (m *Mesh) TakeAnswer(c carobward.Changes, asked time.Time) (int, error) {
	now, before := m.Clock.Now(), m.Mirror.State()

	if c.Era == 0 { // The store does not count its eras, or has stopped doing so.
		c.Era, c.AfterEra = before.Era, before.Era
	}

	enters := c.Era > before.Era && before.Top > 0

	switch {
	case c.Era < before.Era:
		return 0, errors.Annotatef(ErrEra, "era %d, the copy has %d", c.Era, before.Era)
	case enters && !c.Full:
		return 0, errors.Annotatef(carobward.ErrHistoryGone, "era %d, the copy has %d", c.Era, before.Era)
	}

	changed := m.Mirror.ApplyAndNotify(c, now, m.Changed)

	if enters {
		m.Log.Info("The store was restored from a backup.", "era", c.Era, "index", c.Index, "before", before.Era, "copy", before.Index,
			"changed", changed, "kept", m.Mirror.State().Kept)
		c = m.Mirror.Since(before)
	}

	m.answered(asked, now)

	c.HoldDeletes = m.Mirror.HoldRemaining(now)
	m.HeartbeatFleet(&c)

	return changed, nil
}
