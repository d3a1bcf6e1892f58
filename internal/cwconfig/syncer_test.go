package cwconfig_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
	"carobward.example/carobward/internal/lab/cwspread"
	"carobward.example/carobward/internal/lab/cwstore"
)

// began is the start time of the simulated clocks.
var began = time.Unix(1000, 0)

// joined returns a fleet whose entry VMs are all ready, and its clock.
func joined(t *testing.T, vms int) (*cwspread.Fleet, *cwspread.Clock) {
	t.Helper()

	clock := cwspread.NewClock(began)
	f := cwspread.New(vms, clock)

	if !f.Join() {
		t.Fatal("the fleet did not join")
	}

	return f, clock
}

// wait waits until the given VMs are ready and have at least the revision r.
func wait(t *testing.T, f *cwspread.Fleet, what string, r carobward.Revision, vms ...int) {
	t.Helper()

	for _, i := range vms {
		cwtest.Wait(t, what, func() bool {
			c := f.At(i).Syncer.Condition()

			return c.Ready && c.Revision >= r
		})
	}
}

// TestFrozenWatchers verifies that a change reaches the other entry VMs by their
// polls while all watchers are paused.
func TestFrozenWatchers(t *testing.T) {
	f := cwspread.New(7, carobward.SystemClock{})
	running := f.PauseWatchers()

	for i := range f.Addresses {
		if !slices.Contains(running, i) {
			f.At(i).Holder.Adopt(&cwconfig.Config{Revision: 1, Chain: "stale"})
		}
	}

	if len(running) != 4 {
		t.Fatalf("%d VMs are not paused, want 4", len(running))
	}

	t.Cleanup(f.Start())
	wait(t, f, "the other VMs to be ready", 0, running...)

	// This writer is not part of the fleet, so it announces nothing to peers.
	if _, err := cwconfig.NewWriter(f.Store, cwconfig.NewHolder()).Apply(context.Background(), cwspread.Put("a", "ana", 0, "fee")); err != nil {
		t.Fatal(err)
	}

	wait(t, f, "the change to reach the other VMs", 1, running...)
}

// TestNewcomer verifies when a new entry VM is ready. Without the store it needs
// the answers of several peers, of which it adopts the highest revision; without
// peers it needs the store's answer and storeOnly.
func TestNewcomer(t *testing.T) {
	for name, test := range map[string]struct {
		peers, unresponsive int
		storeDown           bool
		storeOnly           bool
		ready               bool
		want                carobward.Revision
	}{
		"no peers, store down":             {0, 0, true, true, false, 0},
		"no peers, storeOnly unset":        {0, 0, false, false, false, 0},
		"no peers, store up":               {0, 0, false, true, true, 2},
		"one peer, store down":             {1, 0, true, true, true, 2},
		"three peers, store down":          {3, 0, true, true, true, 2},
		"one of three answers, store down": {3, 2, true, true, false, 0},
		"one of three answers, store up":   {3, 2, false, true, true, 2},
		"no peer answers, store up":        {3, 3, false, true, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := joined(t, test.peers)

			writer := cwconfig.NewWriter(f.Store, cwconfig.NewHolder())
			for i, id := range []string{"a", "b"} {
				if _, err := writer.Apply(context.Background(), cwspread.Put(id, "ana", i, "fee")); err != nil {
					t.Fatal(err)
				}

				// Peer 0 has the newest revision, the others are behind.
				for j := range test.peers {
					if i == 0 || j == 0 {
						f.At(j).Syncer.Poll(context.Background())
					}
				}
			}

			for j := range test.unresponsive {
				f.At(test.peers - 1 - j).Unresponsive = true
			}

			if test.storeDown {
				f.Store.Fault = cwstore.Script("d", "d")
			}

			v := f.Add(f.Store)
			ready := v.Syncer.Join(context.Background(), test.storeOnly)

			if got := v.Holder.Revision(); ready != test.ready || got != test.want {
				t.Errorf("ready %t with revision %d, want %t with %d", ready, got, test.ready, test.want)
			}

			if v.Syncer.Condition().Ready != test.ready {
				t.Error("Condition().Ready differs from the result of Join")
			}
		})
	}
}

// TestUnreadable verifies that a head written by a newer version, a malformed one
// or that of a restored store leaves the effective configuration unchanged, and
// raises an alarm until a valid head is back.
func TestUnreadable(t *testing.T) {
	f, _ := joined(t, 1)
	v := f.At(0)
	if _, err := v.Apply(cwspread.Put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	entry, err := f.Store.Get(context.Background(), cwconfig.HeadKey)
	if err != nil {
		t.Fatal(err)
	}

	next, change, err := v.Holder.Config().With(cwspread.Put("b", "bo", 1, "fee"))
	if err != nil || next.Revision != 2 {
		t.Fatal(err)
	}

	newer, _ := json.Marshal(cwconfig.Head{Format: 1, Changes: []cwconfig.Change{change}})

	for name, raw := range map[string]string{
		"unknown key, valid chain": strings.Replace(string(newer), `"author"`, `"color":"red","author"`, 1),
		"newer format":             `{"format":2,"changes":[]}`,
		"unknown key":              `{"format":1,"changes":[{"id":"b","revision":2,"chain":"x","color":"red"}]}`,
		"no JSON":                  `#`,
		"empty store":              "",
		"no changes":               `{"format":1,"changes":[]}`,
		"gap between changes":      `{"format":1,"changes":[{"id":"b","revision":2,"chain":"x","drop":["a"]},{"id":"c","revision":4,"chain":"y","drop":["a"]}]}`,
	} {
		f.Store.Put(cwconfig.HeadKey, []byte(raw))
		v.Syncer.Poll(context.Background())

		if c := v.Syncer.Condition(); c.Revision != 1 || c.Alarm == "" {
			t.Errorf("%s: got condition %+v, want revision 1 and an alarm", name, c)
		}

		if v.Holder.Targets().ByName("fee") == nil {
			t.Errorf("%s: the target is missing", name)
		}

		f.Store.Put(cwconfig.HeadKey, entry.Value)
		v.Syncer.Poll(context.Background())

		if c := v.Syncer.Condition(); c.Alarm != "" {
			t.Errorf("%s: the alarm is not cleared: %s", name, c.Alarm)
		}
	}
}

// TestLateReplyIsNoAlarm verifies that a head read before a change took effect
// here is not mistaken for that of a restored store.
func TestLateReplyIsNoAlarm(t *testing.T) {
	f, clock := joined(t, 1)
	v := f.At(0)
	known, sent := v.Holder.Config(), clock.Now()
	found, err := cwconfig.NewReader(f.Store).Head(context.Background())

	if _, err := v.Apply(cwspread.Put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	cwconfig.HandleRead(v.Syncer, context.Background(), &found, err, known, sent)

	if c := v.Syncer.Condition(); c.Alarm != "" || c.Revision != 1 {
		t.Errorf("got condition %+v, want revision 1 and no alarm", c)
	}
}

// TestFreshness verifies that a peer's digest proves freshness for the time when
// it was requested minus the peer's own age, and only if the peer has no higher
// revision.
func TestFreshness(t *testing.T) {
	for name, test := range map[string]struct {
		digest *cwwire.ConfigDigest
		want   time.Duration
	}{
		"fresh peer":                  {&cwwire.ConfigDigest{Revision: 0, Known: true}, 3 * time.Second},
		"peer with an age":            {&cwwire.ConfigDigest{Revision: 0, Known: true, AgeMillis: 5000}, 8 * time.Second},
		"peer that was never fresh":   {&cwwire.ConfigDigest{Revision: 0}, -1},
		"higher revision, no changes": {&cwwire.ConfigDigest{Revision: 7, Known: true}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			clock := cwspread.NewClock(began)
			f := cwspread.New(1, clock)
			sent := clock.Now()
			clock.Advance(3 * time.Second)

			s := f.At(0).Syncer
			if err := cwconfig.HandleReply(s, &cwwire.ConfigReply{Digest: test.digest}, sent); err != nil {
				t.Fatal(err)
			}

			got := time.Duration(-1)
			if c := s.Condition(); !c.Fresh.IsZero() {
				got = clock.Now().Sub(c.Fresh)
			}

			if got != test.want {
				t.Errorf("age %s, want %s", got, test.want)
			}
		})
	}
}

// TestBehindPeers verifies that an entry VM refuses changes while it is behind
// its peers and can't catch up, and before it is ready.
func TestBehindPeers(t *testing.T) {
	f := cwspread.New(2, cwspread.NewClock(began))
	v := f.At(1)

	if _, err := v.Apply(cwspread.Put("a", "ana", 0, "fee"), false); !errors.Is(err, cwconfig.ErrNotReady) {
		t.Errorf("before the join: got %v, want ErrNotReady", err)
	}

	if !f.Join() {
		t.Fatal("the fleet did not join")
	}

	if _, err := f.At(0).Apply(cwspread.Put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	f.At(0).Unresponsive = true

	if _, err := v.Apply(cwspread.Put("b", "bo", 0, "gate"), false); !errors.Is(err, cwconfig.ErrBehind) {
		t.Errorf("while behind: got %v, want ErrBehind", err)
	}

	f.At(0).Unresponsive = false

	if got, err := v.Apply(cwspread.Put("b", "bo", 0, "gate"), false); err != nil || got != 2 {
		t.Errorf("after catching up: got revision %d, %v, want revision 2", got, err)
	}
}
