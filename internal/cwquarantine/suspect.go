package cwquarantine

import (
	"maps"
	"time"

	"carobward.example/carobward"
)

// The rule by which a request is quarantined.
const (
	// crashesMost is how many servers have to crash with a request of the same caller
	// in flight, and no answer to it, before it is sent no more. One or two come by
	// chance: an innocent request beside the one that ends servers is sent to a
	// second one, and that may end, too.
	crashesMost = 3
	// sharedMost is the same for one request of several callers together. Others
	// are refused for it who have not sent it yet, so it takes more.
	sharedMost = 5
	// ResendMost is from how many crashes on an entry VM no longer sends a request to a
	// second server by itself. Its caller may still come back.
	ResendMost = 2
	// trialFirst is how long after the last crash a quarantined request is sent once,
	// in the whole fleet: an innocent one is answered, and is served from then on.
	// trialNext is how long after that it is sent once more. A crash of the server
	// costs the requests beside it, so there are trialsMost in all.
	trialFirst = 5 * time.Second
	trialNext  = 30 * time.Second
	trialsMost = 2
	// keepTime is how long a crash is remembered. An operator who is called has seen
	// to the servers by then, or lifts the quarantine before.
	keepTime = time.Hour
	// recordsMost bounds the crashes that are remembered, some 500 bytes each; requests
	// that ended a server before may take as many again. keptMost bounds those of one
	// request of one caller: more tell nothing new.
	recordsMost = 256
	keptMost    = 8
	// recordsMany is from how many on the oldest are forgotten whose request ended
	// no second server.
	recordsMany = 128
)

// Decision says what happens to a request.
type Decision struct {
	// Held tells that it is not sent. It may come back after Wait.
	Held bool
	Wait time.Duration
	// Trial is the number of the trial by which it may be sent all the same, once;
	// 0: none.
	Trial int
}

// suspect is a request under which servers ended, of whichever caller.
type suspect struct {
	// callers has the crashes by caller and by server.
	callers map[Digest]map[Digest]Crash
	// trials has when each trial was made.
	trials [trialsMost]time.Time
}

// wall returns a time by its wall clock alone: what the store has comes from other
// clocks, and the steady one stands still while a VM is suspended.
func wall(now time.Time) time.Time { return now.Round(0) }

func (s *suspect) decide(caller Digest, now time.Time) Decision {
	last, held := s.heldSince(caller, now)
	if !held {
		return Decision{}
	}

	for n, at := range s.trials {
		due := last.Add(trialFirst)
		if n > 0 {
			due = s.trials[n-1].Add(trialNext)
		}

		switch {
		case !at.IsZero():
			continue
		case now.Before(due):
			return Decision{Held: true, Wait: due.Sub(now)}
		default:
			return Decision{Trial: n + 1, Held: true, Wait: trialNext}
		}
	}

	return Decision{Held: true, Wait: last.Add(keepTime).Sub(now)}
}

// heldSince tells whether the request is quarantined for a caller, and returns the
// time of the last crash that counts.
func (s *suspect) heldSince(caller Digest, now time.Time) (time.Time, bool) {
	own, last := count(s.callers[caller], now)
	if own >= crashesMost {
		return last, true
	}

	callers := 0

	for _, list := range s.callers {
		if n, _ := count(list, now); n > 0 {
			callers++
		}
	}

	shared, last := count(s.all(), now)

	return last, callers > 1 && shared >= sharedMost
}

// all returns the crashes under the request by server, of whichever caller.
func (s *suspect) all() map[Digest]Crash {
	all := map[Digest]Crash{}

	for _, list := range s.callers {
		maps.Copy(all, list)
	}

	return all
}

// keysAt returns the keys of the crash of one server, one a caller.
func (s *suspect) keysAt(server Digest) []carobward.Key {
	var keys []carobward.Key

	for _, list := range s.callers {
		if c, ok := list[server]; ok {
			keys = append(keys, c.key())
		}
	}

	return keys
}

// count returns how many crashes are remembered, and the time of the last one.
func count(list map[Digest]Crash, now time.Time) (n int, last time.Time) {
	for _, c := range list {
		if now.Sub(c.At) >= keepTime {
			continue
		}

		n++

		if c.At.After(last) {
			last = c.At
		}
	}

	return n, last
}

// trialKeys returns the keys of the trials that were made.
func (s *suspect) trialKeys(key content) []carobward.Key {
	var keys []carobward.Key

	for n, at := range s.trials {
		if !at.IsZero() {
			keys = append(keys, trialKey(key, n+1))
		}
	}

	return keys
}
