package cwmesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwwire"
)

// stepClock is a clock that the test sets.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// TestAnswersBound checks that with many peers asking for changes at once the replies stay
// within the share of the link for them. A peer that asks alone gets all, however large.
func TestAnswersBound(t *testing.T) {
	const (
		link  = 1_250_000
		keys  = 100
		value = 400
		size  = keys * (value + 10)
		limit = link*linkShare + link/10
	)

	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = conn.Close() }()

	clock := &stepClock{now: time.Now()}
	mirror := newMirror()
	changes := carobward.Changes{Index: keys}

	// Incompressible bytes, so that all of them are sent.
	random := rand.NewChaCha8([32]byte{})

	for i := range keys {
		it := carobward.Item{Key: carobward.Key(fmt.Sprintf("servers/%02d", i)), Value: make([]byte, value), Index: carobward.StoreIndex(i + 1)}
		_, _ = random.Read(it.Value) // Never fails.
		changes.Items = append(changes.Items, it)
	}

	mirror.Apply(changes, time.Now())

	m := New(Options{Table: NewTable(Node{ID: "self"}), Mirror: mirror, Clock: clock, Log: logr.Discard(), Link: link, Notices: noNotices}, conn)
	answers := NewAnswers(m)

	sent := 0

	for range 1000 {
		clock.now = clock.now.Add(time.Millisecond)

		for range 3 {
			if err := answers.Changes(&cwwire.ChangesRequest{After: 0}, &cwwire.ChangesReply{}); err == nil {
				sent += size
			}
		}
	}

	if sent > limit || sent < limit/2 {
		t.Errorf("sent %d bytes in a second, want at most %d and at least half of that", sent, int(limit))
	}

	slow := NewAnswers(New(Options{Table: NewTable(Node{ID: "self"}), Mirror: mirror, Clock: clock, Log: logr.Discard(), Link: size}, conn))
	reply := &cwwire.ChangesReply{}

	err = slow.Changes(&cwwire.ChangesRequest{After: 0}, reply)

	all, decodeErr := decodeChanges(reply, 0)
	if err != nil || decodeErr != nil || len(all.Items) != keys {
		t.Errorf("a peer that asks alone got %d keys, the errors are %v and %v", len(all.Items), err, decodeErr)
	}
}

// TestAnswersGap asks an entry VM whose replica came from a list of all keys for changes
// since before that list: it does not know which keys were deleted in between.
func TestAnswersGap(t *testing.T) {
	const listed = 50

	for name, c := range map[string]struct {
		after, size int
		whole       bool
		want        error
	}{
		"peer without a replica": {0, maxWholeSize, true, nil},
		"before the list":        {listed - 1, maxWholeSize, false, errGap},
		"before a short list":    {listed - 1, 10, true, nil},
		"right after the list":   {listed, maxWholeSize, false, nil},
		"later than the list":    {listed + 1, maxWholeSize, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			mirror := newMirror()
			mirror.Apply(carobward.Changes{
				Index: listed, Full: true, Items: []carobward.Item{{Key: "a", Value: make([]byte, c.size), Index: listed}},
			}, time.Now())
			mirror.Apply(carobward.Changes{After: listed, Index: listed + 2, Items: []carobward.Item{{Key: "b", Index: listed + 2}}}, time.Now())

			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = conn.Close() }()

			m := New(Options{Table: NewTable(Node{ID: "self"}), Mirror: mirror, Clock: carobward.SystemClock{}, Log: logr.Discard(), Notices: noNotices}, conn)
			reply := &cwwire.ChangesReply{}

			err = NewAnswers(m).Changes(&cwwire.ChangesRequest{After: uint64(c.after)}, reply)
			if !errors.Is(err, c.want) || reply.GetWhole() != c.whole {
				t.Errorf("got the error %v, all keys: %v", err, reply.GetWhole())
			}
		})
	}
}

// TestNeedsStore checks that the store is to be asked once peers can't help, until the replica
// is known to be up to date.
func TestNeedsStore(t *testing.T) {
	clock := &stepClock{now: time.Now()}
	m := &Mesh{Options: Options{Clock: clock, Mirror: newMirror()}, claims: newClaims()}
	m.answered(clock.now, clock.now)

	if m.NeedsStore() {
		t.Error("the store is needed at first")
	}

	clock.now = clock.now.Add(time.Second)
	m.noteGap()

	if !m.NeedsStore() {
		t.Error("the store is not needed after a gap")
	}

	m.answered(clock.now, clock.now)

	if m.NeedsStore() {
		t.Error("the store is needed with a replica that is up to date")
	}
}

// TestIsPeerError checks that a refusal by a peer is told from other errors, in the form
// in which net/rpc returns it.
func TestIsPeerError(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"a refusal":            {carobward.NewFailure(carobward.Unknown, 502, 0, errors.Annotate(rpc.ServerError(errBusy.Error()), "peer")), true},
		"another peer's error": {rpc.ServerError("mesh: broken"), false},
		"no answer":            {context.DeadlineExceeded, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isPeerError(c.err, errBusy); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// TestOffer checks that the newest offer counts, and that a peer that failed is not
// asked again while another one is ahead.
func TestOffer(t *testing.T) {
	now := time.Now()
	table := newTable(4, now)

	for _, id := range []carobward.VMID{"vm-0", "vm-3"} {
		table.updatePeer(Peer{Node: table.peers[id].Node, Boot: 1, LastSeen: now, Replica: cwmirror.State{Index: 7, Top: 7}})
	}

	clock := &stepClock{now: now}
	m := &Mesh{
		Options: Options{Table: table, Mirror: newMirror(), Clock: clock},
		offers:  make(chan offer, 1),
	}

	m.setOffer(offer{id: "vm-0"})
	m.setOffer(offer{id: "vm-3"})

	if got := <-m.offers; got.id != "vm-3" || len(m.offers) != 0 {
		t.Errorf("got the offer of %s, %d more are queued", got.id, len(m.offers))
	}

	for range 20 {
		if got, ok := m.pickAhead(offer{id: "vm-0"}); !ok || got.id != "vm-3" {
			t.Fatalf("picked %q instead of the other peer that is ahead", got.id)
		}
	}

	// The only one that is ahead is asked again.
	table.updatePeer(Peer{Node: table.peers["vm-3"].Node, Boot: 1, LastSeen: now})
	clock.now = now.Add(liveCacheTime)

	if got, ok := m.pickAhead(offer{id: "vm-0"}); !ok || got.id != "vm-0" {
		t.Errorf("picked %q instead of the only peer that is ahead", got.id)
	}
}

func noNotices(time.Time, bool) carobward.Announcements { return carobward.Announcements{} }

// TestLacksKept verifies when an entry VM asks a peer for the items that it keeps: at first, and
// again when the peer keeps more, but not at each heartbeat.
func TestLacksKept(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, c := range map[string]struct {
		// kept is what the peer keeps, last how long ago something was fetched, 0 for never.
		kept int
		last time.Duration
		want bool
	}{
		"nothing kept":           {0, 0, false},
		"never fetched":          {1, 0, true},
		"fetched just now":       {1, keptPause / 2, false},
		"fetched some time ago":  {1, keptPause, true},
		"nothing kept any more":  {0, time.Minute, false},
		"fetched much before":    {3, time.Hour, true},
		"never fetched, several": {3, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Mesh{Options: Options{Mirror: newMirror()}}
			if c.last > 0 {
				m.lastFetch.Store(now.Add(-c.last).UnixNano())
			}

			if got := m.lacksKept(cwmirror.State{Kept: c.kept}, now); got != c.want {
				t.Errorf("lacks kept items: %t, want %t", got, c.want)
			}
		})
	}
}
