package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// speaking is an entry VM with two servers of one service, of which the first says something
// in its answers.
type speaking struct {
	*fleet

	one, other *cwstand.Upstream
	vm         *vm
	asked      int
}

func newSpeaking(t *testing.T) *speaking {
	t.Helper()

	s := &speaking{fleet: newFleet(t)}
	s.one, s.other = s.upstream(t, "fees", "i-1"), s.upstream(t, "fees", "i-2")
	s.store.Put("servers/i-1", cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", s.one.Address(), "a", "ready"), 6))
	s.configure(safe("fees"), unsafe())
	s.vm = s.start(t, "vm-1")
	s.vm.waitReady(t)

	return s
}

// ask sends requests of each kind, and returns the answers.
func (s *speaking) ask(requests int) []answer {
	var all []answer

	for range requests {
		for method, path := range map[string]string{http.MethodGet: reading, http.MethodPost: charging} {
			s.asked++
			all = append(all, s.vm.ask(method, path, fmt.Sprint("id-", s.asked), ""))
		}
	}

	return all
}

// TestSaysLeaving has a server whose entry stays ready say that it leaves, in any answer, and
// wants it to get nothing more, with the store away, too, until another process is there.
func TestSaysLeaving(t *testing.T) {
	for name, way := range map[string]cwstand.UpstreamMode{
		"in answers":            cwstand.UpstreamServes,
		"in refusals":           cwstand.UpstreamSheds,
		"in failures":           cwstand.UpstreamFails,
		"in answers of its own": cwstand.UpstreamRefuses,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSpeaking(t)
			s.one.SetMode(way, 0)
			s.one.SetHeaders("Server-Leaving: 1")
			s.store.SetFaults(cwstand.MetadataFaults{Status: http.StatusServiceUnavailable})

			cwtest.Wait(t, "the word", func() bool {
				s.ask(1)

				return s.vm.gauge(t, "leaving") == 1
			})

			before := len(s.one.Runs()) + len(s.one.Refusals())

			for _, got := range s.ask(40) {
				if got.status != http.StatusOK {
					t.Errorf("%+v", got)
				}
			}

			if n := len(s.one.Runs()) + len(s.one.Refusals()) - before; n > 0 {
				t.Errorf("%d requests at a server that leaves", n)
			}

			s.one.SetMode(cwstand.UpstreamServes, 0)
			s.one.SetHeaders()
			s.store.SetFaults(cwstand.MetadataFaults{})
			s.store.Put("servers/i-1", cwstand.ServerEntryWithStart(cwstand.ServerEntry("fees", s.one.Address(), "a", "ready"), 7))
			cwtest.Wait(t, "use of the next process", func() bool {
				before := len(s.one.Runs())
				s.ask(1)

				return len(s.one.Runs()) > before
			})
		})
	}
}

// TestUnreadableWords wants words that can't be read to say nothing.
func TestUnreadableWords(t *testing.T) {
	s := newSpeaking(t)
	s.one.SetHeaders("Server-Leaving: maybe", "Retry-After: never")

	cwtest.Wait(t, "use", func() bool {
		before := len(s.one.Runs())
		s.ask(4)

		return len(s.one.Runs()) > before && before > 0
	})

	if n := s.vm.gauge(t, "leaving") + s.vm.gauge(t, "paused"); n > 0 {
		t.Errorf("%d words taken", n)
	}
}

// pauseLate is how long after a refusal requests that were on their way may still come.
const pauseLate = 500 * time.Millisecond

// TestRetryAfter has a server refuse requests and name a time, and wants two more at most to
// reach it from half a second later on until that time is over, and use of it after that.
func TestRetryAfter(t *testing.T) {
	for name, pause := range map[string]time.Duration{"seconds": 2 * time.Second, "a fraction": 1250 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newSpeaking(t)
			s.one.SetMode(cwstand.UpstreamSheds, 0)
			s.one.SetHeaders(fmt.Sprintf("Retry-After: %g", pause.Seconds()))

			cwtest.Wait(t, "a refusal", func() bool {
				s.ask(1)

				return len(s.one.Refusals()) > 0
			})

			first := s.one.Refusals()[0]
			for time.Since(first) < 2*pause {
				s.ask(1)
			}

			within := 0
			for _, at := range s.one.Refusals() {
				if late := at.Sub(first); late > pauseLate && late < pause {
					within++
				}
			}

			if within > 2 {
				t.Errorf("%d requests reached a server that wants none", within)
			}

			s.one.SetMode(cwstand.UpstreamServes, 0)
			cwtest.Wait(t, "use of the server", func() bool {
				s.ask(1)

				return len(s.one.Runs()) > 0
			})
		})
	}
}

// TestAllPause has all servers of a service want no requests for longer than callers wait,
// and wants these to be refused at once, with when one of the servers is open again.
func TestAllPause(t *testing.T) {
	s := newSpeaking(t)

	for i, u := range []*cwstand.Upstream{s.one, s.other} {
		u.SetMode(cwstand.UpstreamSheds, 0)
		u.SetHeaders(fmt.Sprint("Retry-After: ", 20+20*i))
	}

	cwtest.Wait(t, "both words", func() bool {
		s.ask(1)

		return s.vm.gauge(t, "paused") == 2
	})

	before := len(s.one.Refusals()) + len(s.other.Refusals())

	for _, got := range s.ask(20) {
		if after := got.header.Get("Retry-After"); got.status != http.StatusServiceUnavailable || after == "" {
			t.Errorf("status %d, to come back after %q", got.status, after)
		}
	}

	if n := len(s.one.Refusals()) + len(s.other.Refusals()) - before; n > 0 {
		t.Errorf("%d requests reached servers that want none", n)
	}
}
