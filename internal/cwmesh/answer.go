package cwmesh

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrEra is the error of an answer of the store as it was before it came back from a copy.
const ErrEra = errors.ConstError("mesh: an answer of an earlier era of the store")

// TakeAnswer takes an answer of the store to a call that was made at a time, and tells the
// fleet. It returns how many items came
// into force. It is a carobward.ErrHistory if the store came back from a copy and the answer
// does not have all keys: what came after our index is none of its history.
func (m *Mesh) TakeAnswer(c carobward.Changes, asked time.Time) (int, error) {
	now, before := m.Clock.Now(), m.Mirror.State()

	if c.Era == 0 { // Not named: the store does not count its eras, or not any more.
		c.Era, c.AfterEra = before.Era, before.Era
	}

	enters := c.Era > before.Era && before.Top > 0

	switch {
	case c.Era < before.Era:
		return 0, errors.Annotatef(ErrEra, "era %d, the copy has %d", c.Era, before.Era)
	case enters && !c.Whole:
		return 0, errors.Annotatef(carobward.ErrHistory, "era %d, the copy has %d", c.Era, before.Era)
	}

	changed := m.Mirror.ApplyAndNotify(c, now, m.Changed)

	if enters {
		m.Log.Info("The store came back from a copy.", "era", c.Era, "index", c.Index, "before", before.Era, "copy", before.Index,
			"changed", changed, "kept", m.Mirror.State().Kept)
		c = m.Mirror.Since(before)
	}

	m.answered(asked, now)

	c.Hold = m.Mirror.HoldRemaining(now)
	m.TellFleet(&c)

	return changed, nil
}
