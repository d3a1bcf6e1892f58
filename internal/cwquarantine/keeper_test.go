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

// fakeFeed is a store that accepts writes. Each call blocks until the test releases it.
type fakeFeed struct {
	carobward.Feed

	mutex sync.Mutex
	keys  map[carobward.Key]bool
	calls int
	err   error
	// applied makes writes take effect though err is returned.
	applied bool
	started chan struct{}
	proceed chan struct{}
}

func newFakeFeed() *fakeFeed {
	return &fakeFeed{keys: map[carobward.Key]bool{}, started: make(chan struct{}, 1), proceed: make(chan struct{}, 1)}
}

func (s *fakeFeed) Write(_ context.Context, b carobward.Batch) error {
	s.started <- struct{}{}
	<-s.proceed

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.calls++

	if s.err != nil && !s.applied {
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

// countKeys returns the number of keys in the store.
func (s *fakeFeed) countKeys() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.keys)
}

// release lets the next call proceed.
func (s *fakeFeed) release() {
	<-s.started
	s.proceed <- struct{}{}
}

// fixedClock is a clock that always shows start.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return start }

// newKeeper returns a keeper of an entry VM to which the store last answered the given time ago.
func newKeeper(s *fakeFeed, sinceAnswer time.Duration) *Keeper {
	return New(Options{
		VM: "vm-1", Table: NewTable(), Feed: s, Clock: fixedClock{}, Log: logr.Discard(),
		LastAnswer: func() time.Time { return start.Add(-sinceAnswer) },
		Leads:      func() bool { return false },
		Era:        func() carobward.StoreEra { return 0 },
	})
}

// TestShared checks what the store holds in the end after a crash was shared, depending on what
// happens while it is being written.
func TestShared(t *testing.T) {
	c := crashSpec{"a", "1", 0}.crash()

	for name, test := range map[string]struct {
		// during runs during the call that shares the crash.
		during func(k *Keeper)
		err    error
		want   map[carobward.Key]bool
	}{
		"shared":                      {func(*Keeper) {}, nil, map[carobward.Key]bool{c.key(): true}},
		"answered while it is shared": {func(k *Keeper) { k.Answered(c.Fingerprint) }, nil, map[carobward.Key]bool{}},
		"shared again meanwhile":      {func(k *Keeper) { k.Share(c) }, nil, map[carobward.Key]bool{c.key(): true}},
		"refused at first":            {func(*Keeper) {}, carobward.ErrStoreRefused, map[carobward.Key]bool{c.key(): true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeFeed()
			s.err = test.err
			k := newKeeper(s, 0)

			k.RecordCrash(c)
			k.Share(c)

			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})

			go func() {
				defer close(done)

				for k.Pending() > 0 {
					k.write(ctx)
				}
			}()

			<-s.started
			test.during(k)
			s.proceed <- struct{}{}

			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-s.started:
					s.mutex.Lock()
					s.err = nil
					s.mutex.Unlock()
					s.proceed <- struct{}{}
				}
			}

			cancel()

			if diff := cmp.Diff(test.want, s.keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAnsweredAfterSharing checks that no record of a crash stays in the store if its request is
// answered after the store has the record: while the reply is on its way, while it is handled, or
// after it was lost. A record that stays would quarantine the request of other callers for as long
// as crashes are remembered.
func TestAnsweredAfterSharing(t *testing.T) {
	for name, c := range map[string]struct {
		err error
		// rounds is how often the test is repeated to hit a short moment.
		rounds int
	}{
		"while the reply is handled": {nil, 5000},
		"after the reply was lost":   {carobward.ErrStoreUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for range c.rounds {
				s := newFakeFeed()
				s.err, s.applied = c.err, true
				k := newKeeper(s, 0)
				crash := crashSpec{"a", "1", 0}.crash()

				k.RecordCrash(crash)
				k.Share(crash)

				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})

				go func() {
					defer close(done)

					k.write(ctx)
				}()

				s.release()

				for s.countKeys() == 0 {
					runtime.Gosched()
				}

				if c.err != nil {
					cancel()
					<-done
				}

				k.Answered(crash.Fingerprint)
				cancel()
				<-done

				s.err = nil

				for k.Pending() > 0 {
					go s.release()
					k.write(context.Background())
				}

				if n := s.countKeys(); n > 0 {
					t.Fatalf("%d records stay in the store", n)
				}
			}
		})
	}
}

// TestAnsweredBeforeSharing checks that a crash is never shared if its request was answered before
// the first call.
func TestAnsweredBeforeSharing(t *testing.T) {
	k := newKeeper(newFakeFeed(), 0)
	c := crashSpec{"a", "1", 0}.crash()

	k.RecordCrash(c)
	k.Share(c)
	k.Answered(c.Fingerprint)

	if n := k.Pending(); n > 0 {
		t.Errorf("%d changes are queued for the store", n)
	}
}

// TestNoCalls checks that an unavailable store gets no calls, and that one that refuses the claims
// of this entry VM gets few.
func TestNoCalls(t *testing.T) {
	const claims = 50

	for name, c := range map[string]struct {
		sinceAnswer time.Duration
		err         error
		calls       int
	}{
		"the store serves nobody":    {availableTime, nil, 0},
		"the store refuses the call": {0, carobward.ErrStoreRefused, 1},
		"the store has the trial":    {0, carobward.ErrConflict, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeFeed()
			s.err = c.err
			k := newKeeper(s, c.sinceAnswer)

			go func() {
				for range c.calls {
					s.release()
				}
			}()

			for range claims {
				if k.ClaimTrial(Trial{Fingerprint: fingerprintOf("a"), Number: 1}) {
					t.Error("a trial was granted")
				}
			}

			if s.calls != c.calls {
				t.Errorf("the store got %d calls", s.calls)
			}

			k.Share(crashSpec{"a", "1", 0}.crash())

			if got := k.canWrite(); got != (c.sinceAnswer < availableTime) {
				t.Errorf("canWrite returned %v", got)
			}
		})
	}
}

// TestPending checks that the queue of changes for the store is bounded.
func TestPending(t *testing.T) {
	k := newKeeper(newFakeFeed(), 0)

	for n := range 2 * maxPending {
		c := crashSpec{"a", string(rune('a' + n)), 0}.crash()
		k.Share(c)
	}

	if k.Pending() != maxPending || k.Dropped() != maxPending {
		t.Errorf("%d changes are queued, %d were dropped", k.Pending(), k.Dropped())
	}
}

// TestOrphanedTrial checks that an entry VM deletes its own trial if that was granted after an
// answer on another entry VM had removed everything else, since that entry VM did not know of the
// trial. It must not delete trials of other entry VMs, nor those of requests that have crashes.
func TestOrphanedTrial(t *testing.T) {
	for name, c := range map[string]struct {
		vm         carobward.VMID
		remembered bool
		want       int
	}{
		"own trial":                              {"vm-1", false, 1},
		"another entry VM's trial":               {"vm-2", false, 0},
		"own trial, with crashes":                {"vm-1", true, 0},
		"another entry VM's trial, with crashes": {"vm-2", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeper(newFakeFeed(), 0)
			trial := Trial{Fingerprint: fingerprintOf("a"), Number: 2, At: start, VM: c.vm}

			if c.remembered {
				k.RecordCrash(crashSpec{"a", "1", 0}.crash())
			}

			raw, err := trial.encode()
			if err != nil {
				t.Fatal(err)
			}

			k.HandleChanges([]carobward.Item{{Key: trial.key(), Value: raw}})

			if n := k.Pending(); n != c.want {
				t.Errorf("%d changes are queued for the store", n)
			}
		})
	}
}
