package cwmesh

import (
	"time"

	"github.com/juju/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// Limits of sending changes.
const (
	// maxPushSize is the encoded size, in bytes, up to which changes go along with heartbeats, so
	// that peers need not fetch them: the heartbeat still fits into one packet. A change of
	// one server is some 300 bytes.
	maxPushSize = 1000
	// pushTime is for how long heartbeats carry changes: the first heartbeats after a
	// change, and those of the entry VMs that pass it on.
	pushTime = 100 * time.Millisecond
	// minPackSize is the size in bytes from which entries are compressed, to a third or
	// less. Smaller ones need one packet either way.
	minPackSize = 1000
	// maxUnpackedSize is the maximum size in bytes of entries that are decompressed.
	maxUnpackedSize = 64 << 20
)

// push has the newest changes, for peers whose replica is at the state after which they begin.
type push struct {
	after   cwmirror.State
	changes *cwwire.ChangesReply
	at      time.Time
}

// setPush makes heartbeats carry changes if they are small.
func (m *Mesh) setPush(c *carobward.Changes) {
	if c == nil || c.Full || len(c.Items) == 0 && c.AfterEra == c.Era || !c.Gap.IsEmpty() {
		return
	}

	reply, err := encodeChanges(c)
	if err != nil {
		m.Log.Error(err, "Changes could not be encoded; peers have to fetch them.")

		return
	}

	if proto.Size(reply) > maxPushSize {
		return
	}

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.push = push{after: cwmirror.State{Era: c.AfterEra, Index: c.After}, changes: reply, at: m.Clock.Now()}
}

// pushed returns the changes that a heartbeat carries, and the state after which
// they begin.
func (m *Mesh) pushed(now time.Time) (*cwwire.ChangesReply, cwmirror.State) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if m.push.changes == nil || now.Sub(m.push.at) >= pushTime {
		m.push = push{}

		return nil, cwmirror.State{}
	}

	return m.push.changes, m.push.after
}

// applyPush applies the changes of a heartbeat if they follow this replica.
func (m *Mesh) applyPush(in *cwwire.Beat) {
	if in.GetChanges() == nil {
		return
	}

	after := carobward.StoreIndex(in.GetChangesAfter())
	if s := m.Mirror.State(); s.Index != after || s.Era != carobward.StoreEra(in.GetChangesEra()) {
		return
	}

	c, err := decodeChanges(in.GetChanges(), after)
	if err != nil {
		m.Log.Info("Changes in a heartbeat are malformed.", "vm", in.GetId(), "cause", err.Error())

		return
	}

	changed := m.Mirror.ApplyAndNotify(c, m.Clock.Now(), m.Changed)
	m.Log.Info("Applied changes from a heartbeat.", "vm", in.GetId(), "after", c.After, "era", c.Era, "index", c.Index, "changed", changed)
	m.setPush(&c)
}

// encodeChanges encodes changes for peers.
func encodeChanges(c *carobward.Changes) (*cwwire.ChangesReply, error) {
	out := &cwwire.ChangesReply{
		Index: uint64(c.Index), Whole: c.Full, GapFrom: uint64(c.Gap.From), GapTo: uint64(c.Gap.To),
		Era: uint64(c.Era), AfterEra: uint64(c.AfterEra), Hold: uint32(c.HoldDeletes.Milliseconds()),
	}

	for i := range c.Items {
		out.Entries = append(out.Entries, encodeEntry(&c.Items[i]))
	}

	if c.Size() < minPackSize {
		return out, nil
	}

	raw, err := proto.Marshal(&cwwire.Entries{Entries: out.Entries})
	if err != nil {
		return nil, errors.Annotate(err, "mesh: encode entries")
	}

	out.Entries, out.Packed = nil, s2.Encode(nil, raw)

	return out, nil
}

// decodeChanges decodes the changes after an index.
func decodeChanges(in *cwwire.ChangesReply, after carobward.StoreIndex) (carobward.Changes, error) {
	c := carobward.Changes{
		After: after, Index: carobward.StoreIndex(in.GetIndex()), Full: in.GetWhole(),
		Gap: carobward.Gap{From: carobward.StoreIndex(in.GetGapFrom()), To: carobward.StoreIndex(in.GetGapTo())},
		Era: carobward.StoreEra(in.GetEra()), AfterEra: carobward.StoreEra(in.GetAfterEra()),
		HoldDeletes: time.Duration(in.GetHold()) * time.Millisecond, Retained: decodeKept(in.GetKept()),
	}
	entries := in.GetEntries()

	if len(in.GetPacked()) > 0 {
		raw, err := unpack(in.GetPacked())
		if err != nil {
			return c, err
		}

		all := &cwwire.Entries{}
		if err := proto.Unmarshal(raw, all); err != nil {
			return c, errors.Annotate(err, "mesh: decode entries")
		}

		entries = all.GetEntries()
	}

	for _, e := range entries {
		c.Items = append(c.Items, decodeEntry(e))
	}

	return c, nil
}

// unpack decompresses entries. It allocates as much as they claim to need.
func unpack(packed []byte) ([]byte, error) {
	switch size, err := s2.DecodedLen(packed); {
	case err != nil:
		return nil, errors.Annotate(err, "mesh: decompress entries")
	case size > maxUnpackedSize:
		return nil, errors.Errorf("mesh: entries of %d bytes are too large", size)
	}

	raw, err := s2.Decode(nil, packed)

	return raw, errors.Annotate(err, "mesh: decompress entries")
}
