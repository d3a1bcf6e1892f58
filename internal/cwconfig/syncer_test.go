package cwconfig

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
)

// start runs the syncers of a fleet until the test ends, and checks that each
// of them ends then.
func (f *fleet) start(t testing.TB) {
	t.Helper()

	ctx, stop := context.WithCancel(context.Background())

	for i := range f.order {
		go f.at(i).syncer.Run(ctx)
	}

	t.Cleanup(func() {
		stop()

		for i := range f.order {
			<-f.at(i).syncer.Done()
		}
	})
}

func (f *fleet) wait(t *testing.T, what string, r carobward.Revision, vms ...int) {
	t.Helper()

	for _, i := range vms {
		cwtest.Wait(t, what, func() bool {
			c := f.at(i).syncer.Condition()

			return c.Ready && c.Revision >= r
		})
	}
}

// frozen is a store whose calls do not return before their context ends.
type frozen struct{}

func (frozen) Get(ctx context.Context, _ carobward.Key) (carobward.Entry, error) {
	<-ctx.Done()

	return carobward.Entry{}, carobward.ErrStoreDown
}

func (frozen) Swap(ctx context.Context, _ carobward.Key, _ []byte, _ carobward.StoreIndex) error {
	<-ctx.Done()

	return carobward.ErrStoreDown
}

func (f frozen) Watch(ctx context.Context, key carobward.Key, _ carobward.StoreIndex) (carobward.Entry, error) {
	return f.Get(ctx, key)
}

// TestFrozenWatchers: with all watchers frozen the others learn by their
// polls, and with the store gone for all but one, from that one.
func TestFrozenWatchers(t *testing.T) {
	f := newFleet(0)
	f.clock = carobward.SystemClock{}

	for range 7 {
		f.add(f.store)
	}

	var well []int

	for i := range f.order {
		v := f.at(i)
		if Watches(v.self, v.All()) {
			v.syncer.reader = NewReader(frozen{})
			v.deaf = true // It does not answer peers either.
			v.holder.Adopt(&Config{Revision: 1, Chain: "stale"})
		} else {
			well = append(well, i)
		}
	}

	if len(well) != 4 {
		t.Fatalf("%d do not watch", len(well))
	}

	f.start(t)
	f.wait(t, "the others are ready", 0, well...)

	// A writer that is gone at once tells nobody.
	if _, err := NewWriter(f.store, NewHolder()).Apply(context.Background(), put("a", "ana", 0, "fee")); err != nil {
		t.Fatal(err)
	}

	f.wait(t, "the change reaches the others", 1, well...)
}

// TestNewcomer: without the store a newcomer is ready once several peers have
// told, and has the highest revision of them; alone it is not.
func TestNewcomer(t *testing.T) {
	for name, test := range map[string]struct {
		peers, gone int
		storeDown   bool
		alone       bool
		ready       bool
		want        carobward.Revision
	}{
		"alone, the store down":            {0, 0, true, true, false, 0},
		"alone, no peer known yet":         {0, 0, false, false, false, 0},
		"alone with the store":             {0, 0, false, true, true, 2},
		"one peer, the store down":         {1, 0, true, true, true, 2},
		"three peers, the store down":      {3, 0, true, true, true, 2},
		"one of three answers, store down": {3, 2, true, true, false, 0},
		"one of three answers, store up":   {3, 2, false, true, true, 2},
		"all peers gone, the store up":     {3, 3, false, true, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.peers)
			f.ready(t)

			writer := NewWriter(f.store, NewHolder())
			for i, id := range []string{"a", "b"} {
				if _, err := writer.Apply(context.Background(), put(id, "ana", i, "fee")); err != nil {
					t.Fatal(err)
				}

				// One peer knows the newest, the others are behind.
				for j := range test.peers {
					if i == 0 || j == 0 {
						f.at(j).syncer.Poll(context.Background())
					}
				}
			}

			for j := range test.gone {
				f.at(test.peers - 1 - j).deaf = true
			}

			if test.storeDown {
				f.store.Fault = script("d", "d")
			}

			v := f.add(f.store)
			ready := v.syncer.Join(context.Background(), test.alone)

			if got := v.holder.Revision(); ready != test.ready || got != test.want {
				t.Errorf("ready %t with revision %d, want %t with %d", ready, got, test.ready, test.want)
			}

			if v.syncer.Condition().Ready != test.ready {
				t.Error("the condition tells otherwise")
			}
		})
	}
}

// TestUnreadable: what a newer version wrote does not touch what is in force,
// and raises an alarm until it is gone.
func TestUnreadable(t *testing.T) {
	f := newFleet(1)
	f.ready(t)

	v := f.at(0)
	if _, err := v.apply(put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	entry, err := f.store.Get(context.Background(), HeadKey)
	if err != nil {
		t.Fatal(err)
	}

	next, change, err := v.holder.Config().With(put("b", "bo", 1, "fee"))
	if err != nil || next.Revision != 2 {
		t.Fatal(err)
	}

	newer, _ := encode(Head{Format: format, Changes: []Change{change}})

	for name, raw := range map[string]string{
		"an unknown key, well linked": strings.Replace(string(newer), `"author"`, `"color":"red","author"`, 1),
		"a newer format":              `{"format":2,"changes":[]}`,
		"an unknown key":              `{"format":1,"changes":[{"id":"b","revision":2,"chain":"x","color":"red"}]}`,
		"no JSON":                     `#`,
		"an unlinked ring":            `{"format":1,"changes":[{"id":"b","revision":2,"chain":"x","drop":["a"]},{"id":"c","revision":4,"chain":"y","drop":["a"]}]}`,
	} {
		f.store.Put(HeadKey, []byte(raw))
		v.syncer.Poll(context.Background())

		if c := v.syncer.Condition(); c.Revision != 1 || c.Alarm == "" {
			t.Errorf("%s: %+v", name, c)
		}

		if v.holder.Targets().ByName("fee") == nil {
			t.Errorf("%s: the target is gone", name)
		}
	}

	f.store.Put(HeadKey, entry.Value)
	v.syncer.Poll(context.Background())

	if c := v.syncer.Condition(); c.Alarm != "" {
		t.Errorf("the alarm stays: %s", c.Alarm)
	}
}

// TestLateReplyIsNoAlarm: a head that was read before a change came in force
// here is older without being a restored store's.
func TestLateReplyIsNoAlarm(t *testing.T) {
	f := newFleet(1)
	f.ready(t)

	v := f.at(0)
	known, sent := v.holder.Config(), f.clock.Now()
	found, err := v.syncer.reader.Head(context.Background())

	if _, err := v.apply(put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	v.syncer.saw(context.Background(), &found, err, known, sent)

	if c := v.syncer.Condition(); c.Alarm != "" || c.Revision != 1 {
		t.Errorf("got %+v", c)
	}
}

// TestHolderOnlyRises: neither a full copy nor changes lower the revision.
func TestHolderOnlyRises(t *testing.T) {
	configs, changes := history(t, 4, "a")
	h := NewHolder()

	for _, step := range []struct{ take, want int }{{2, 2}, {1, 2}, {2, 2}, {3, 3}, {0, 3}} {
		h.Adopt(configs[step.take])

		if got := h.Revision(); got != carobward.Revision(step.want) {
			t.Errorf("revision %d after a copy of %d, want %d", got, step.take, step.want)
		}
	}

	if rose, err := h.Advance(changes[:2]); rose || err != nil || h.Revision() != 3 {
		t.Errorf("older changes: %t, %v, revision %d", rose, err, h.Revision())
	}
}

// TestFreshness: a peer's word counts from when it was asked, less its own
// age, and only if it has nothing newer.
func TestFreshness(t *testing.T) {
	for name, test := range map[string]struct {
		digest *cwwire.ConfigDigest
		want   time.Duration
	}{
		"fresh peer":         {&cwwire.ConfigDigest{Revision: 0, Known: true}, 3 * time.Second},
		"old news":           {&cwwire.ConfigDigest{Revision: 0, Known: true, AgeMillis: 5000}, 8 * time.Second},
		"never knew":         {&cwwire.ConfigDigest{Revision: 0}, -1},
		"has more, gives no": {&cwwire.ConfigDigest{Revision: 7, Known: true}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			clock, _ := f.clock.(*manualClock)
			sent := clock.Now()
			clock.advance(3 * time.Second)

			s := f.at(0).syncer
			if err := s.hear(&cwwire.ConfigReply{Digest: test.digest}, sent); err != nil {
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

// TestBehindPeers: no change is made by way of an entry VM that is known to
// be behind and can't catch up, nor by a newcomer that is not ready.
func TestBehindPeers(t *testing.T) {
	f := newFleet(2)
	v := f.at(1)

	if _, err := v.apply(put("a", "ana", 0, "fee"), false); !errors.Is(err, ErrNotReady) {
		t.Errorf("newcomer: got %v", err)
	}

	f.ready(t)

	if _, err := f.at(0).apply(put("a", "ana", 0, "fee"), false); err != nil {
		t.Fatal(err)
	}

	f.at(0).deaf = true

	if _, err := v.apply(put("b", "bo", 0, "gate"), false); !errors.Is(err, ErrBehind) {
		t.Errorf("behind: got %v", err)
	}

	f.at(0).deaf = false

	if got, err := v.apply(put("b", "bo", 0, "gate"), false); err != nil || got != 2 {
		t.Errorf("caught up: revision %d, %v", got, err)
	}
}
