package cwquarantine

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// fakeFeed takes writes, with a pause in each call that a test ends.
type fakeFeed struct {
	carobward.Feed

	mutex sync.Mutex
	keys  map[carobward.Key]bool
	calls int
	err   error
	// lost has the writes take effect while err is returned.
	lost  bool
	begun chan struct{}
	goOn  chan struct{}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{keys: map[carobward.Key]bool{}, begun: make(chan struct{}, 1), goOn: make(chan struct{}, 1)}
}

func (s *fakeFeed) Write(_ context.Context, b carobward.Batch) error {
	s.begun <- struct{}{}
	<-s.goOn

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.calls++

	if s.err != nil && !s.lost {
		return s.err
	}

	for _, key := range b.Absent {
		if s.keys[key] {
			return carobward.ErrConflict
		}
	}

	for i := range b.Writes {
		s.keys[b.Writes[i].Key] = true
	}

	for _, key := range b.Deletes {
		delete(s.keys, key)
	}

	return s.err
}

// keysNow returns how many keys there are.
func (s *fakeFeed) keysNow() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.keys)
}

// let lets the next call go on.
func (s *fakeFeed) let() {
	<-s.begun
	s.goOn <- struct{}{}
}

// still is a clock that stands still.
type still struct{}

func (still) Now() time.Time { return start }

// newKeeper returns a keeper of an entry VM that last heard of the store so long ago.
func newKeeper(s *fakeFeed, word time.Duration) *Keeper {
	return New(Options{
		VM: "vm-1", Table: NewTable(), Feed: s, Clock: still{}, Log: logr.Discard(),
		Word:  func() time.Time { return start.Add(-word) },
		Leads: func() bool { return false },
		Era:   func() carobward.StoreEra { return 0 },
	})
}

// TestShared has what becomes of a crash while it is on its way to the store against
// what the store has in the end.
func TestShared(t *testing.T) {
	c := seen{"a", "1", 0}.crash()

	for name, test := range map[string]struct {
		// during is done during the call that shares it.
		during func(k *Keeper)
		err    error
		want   map[carobward.Key]bool
	}{
		"shared":                      {func(*Keeper) {}, nil, map[carobward.Key]bool{c.key(): true}},
		"answered while it is shared": {func(k *Keeper) { k.Answered(c.Print) }, nil, map[carobward.Key]bool{}},
		"shared again meanwhile":      {func(k *Keeper) { k.Share(c) }, nil, map[carobward.Key]bool{c.key(): true}},
		"refused at first":            {func(*Keeper) {}, carobward.ErrStoreRefused, map[carobward.Key]bool{c.key(): true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeFeed()
			s.err = test.err
			k := newKeeper(s, 0)

			k.Ended(c)
			k.Share(c)

			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})

			go func() {
				defer close(done)

				for k.Waiting() > 0 {
					k.write(ctx)
				}
			}()

			<-s.begun
			test.during(k)
			s.goOn <- struct{}{}

			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-s.begun:
					s.mutex.Lock()
					s.err = nil
					s.mutex.Unlock()
					s.goOn <- struct{}{}
				}
			}

			cancel()

			if diff := cmp.Diff(test.want, s.keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAnsweredAfter wants nothing to stay in the store of a crash whose request is answered
// once the store has the record, whenever that is: while the reply is on its way, is taken,
// or is lost. What stays would hold the request of others for hours.
func TestAnsweredAfter(t *testing.T) {
	for name, c := range map[string]struct {
		err error
		// rounds is how often it is tried to hit the moment.
		rounds int
	}{
		"as the reply is taken":    {nil, 5000},
		"after its reply was lost": {carobward.ErrStoreUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for range c.rounds {
				s := newFakeFeed()
				s.err, s.lost = c.err, true
				k := newKeeper(s, 0)
				crash := seen{"a", "1", 0}.crash()

				k.Ended(crash)
				k.Share(crash)

				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})

				go func() {
					defer close(done)

					k.write(ctx)
				}()

				s.let()

				for s.keysNow() == 0 {
					runtime.Gosched()
				}

				if c.err != nil {
					cancel()
					<-done
				}

				k.Answered(crash.Print)
				cancel()
				<-done

				s.err = nil

				for k.Waiting() > 0 {
					go s.let()
					k.write(context.Background())
				}

				if n := s.keysNow(); n > 0 {
					t.Fatalf("%d records stay", n)
				}
			}
		})
	}
}

// TestAnsweredFirst wants a crash that was not shared yet never to be.
func TestAnsweredFirst(t *testing.T) {
	k := newKeeper(newFakeFeed(), 0)
	c := seen{"a", "1", 0}.crash()

	k.Ended(c)
	k.Share(c)
	k.Answered(c.Print)

	if n := k.Waiting(); n > 0 {
		t.Errorf("%d changes wait for the store", n)
	}
}

// TestNoCalls wants nothing of a store that serves nobody, and few calls of one that
// refuses this entry VM.
func TestNoCalls(t *testing.T) {
	const asks = 50

	for name, c := range map[string]struct {
		word  time.Duration
		err   error
		calls int
	}{
		"serves nobody": {servedTime, nil, 0},
		"refuses":       {0, carobward.ErrStoreRefused, 1},
		"has it":        {0, carobward.ErrConflict, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeFeed()
			s.err = c.err
			k := newKeeper(s, c.word)

			go func() {
				for range c.calls {
					s.let()
				}
			}()

			for range asks {
				if k.Try(Trial{Print: printBy("a"), Number: 1}) {
					t.Error("a trial was granted")
				}
			}

			if s.calls != c.calls {
				t.Errorf("%d calls", s.calls)
			}

			k.Share(seen{"a", "1", 0}.crash())

			if waits := k.waits(); waits != (c.word < servedTime) {
				t.Errorf("it would call: %v", waits)
			}
		})
	}
}

// TestPending wants what waits for the store to be bounded.
func TestPending(t *testing.T) {
	k := newKeeper(newFakeFeed(), 0)

	for n := range 2 * pendingMost {
		c := seen{"a", string(rune('a' + n)), 0}.crash()
		k.Share(c)
	}

	if k.Waiting() != pendingMost || k.Dropped() != pendingMost {
		t.Errorf("%d wait, %d dropped", k.Waiting(), k.Dropped())
	}
}

// TestTrialTooLate wants an entry VM whose trial was granted after another one's answer had
// cleared everything to clear its trial as well, since nobody else knows of it, and to leave
// those of others, and those of requests that are remembered, alone.
func TestTrialTooLate(t *testing.T) {
	for name, c := range map[string]struct {
		vm         carobward.VMID
		remembered bool
		want       int
	}{
		"its own":                     {"vm-1", false, 1},
		"another one's":               {"vm-2", false, 0},
		"its own, still remembered":   {"vm-1", true, 0},
		"another's, still remembered": {"vm-2", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper(newFakeFeed(), 0)
			trial := Trial{Print: printBy("a"), Number: 2, At: start, VM: c.vm}

			if c.remembered {
				k.Ended(seen{"a", "1", 0}.crash())
			}

			raw, err := trial.encode()
			if err != nil {
				t.Fatal(err)
			}

			k.Took([]carobward.Item{{Key: trial.key(), Value: raw}})

			if n := k.Waiting(); n != c.want {
				t.Errorf("%d changes wait for the store", n)
			}
		})
	}
}
