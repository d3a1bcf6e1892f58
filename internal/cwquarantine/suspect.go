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
	// costs the requests beside it, so there are trialsMost in all. Each caller whose
	// own crashes hold a request has its own: all servers of a service may have ended
	// at once, under requests that several callers had in flight at three of them.
	trialFirst = 3 * time.Second
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
	// Trial is the one by which it may be sent all the same, once; its number is 0
	// where there is none.
	Trial Trial
}

// suspect is a request under which servers ended, of whichever caller.
type suspect struct {
	// callers has the crashes by caller and by server.
	callers map[Digest]map[Digest]Crash
	// trials has when each trial was made, by caller; those for all callers together
	// have none.
	trials map[Digest][trialsMost]time.Time
}

func newSuspect() *suspect {
	return &suspect{callers: map[Digest]map[Digest]Crash{}, trials: map[Digest][trialsMost]time.Time{}}
}

// wall returns a time by its wall clock alone: what the store has comes from other
// clocks, and the steady one stands still while a VM is suspended.
func wall(now time.Time) time.Time { return now.Round(0) }

// decide returns what happens to a request.
func (s *suspect) decide(p Print, now time.Time) Decision {
	own, last := count(s.callers[p.Caller], now)
	if own >= crashesMost {
		return s.hold(p, last, now)
	}

	callers := 0

	for _, list := range s.callers {
		if n, _ := count(list, now); n > 0 {
			callers++
		}
	}

	shared, last := count(s.all(), now)
	if callers < 2 || shared < sharedMost {
		return Decision{}
	}

	p.Caller = Digest{}

	return s.hold(p, last, now)
}

// hold returns what happens to a request that is quarantined for a caller, or for all of
// them where the print has none, since the last crash that counts.
func (s *suspect) hold(p Print, last, now time.Time) Decision {
	trials := s.trials[p.Caller]
	due := last.Add(trialFirst)

	for n, at := range trials {
		switch {
		case !at.IsZero():
			due = at.Add(trialNext)
		case now.Before(due):
			return Decision{Held: true, Wait: due.Sub(now)}
		default:
			return Decision{Held: true, Wait: trialNext, Trial: Trial{Print: p, Number: n + 1}}
		}
	}

	return Decision{Held: true, Wait: last.Add(keepTime).Sub(now)}
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

// trialKeys returns the keys of the trials that were made for a caller.
func (s *suspect) trialKeys(key content, caller Digest) []carobward.Key {
	var keys []carobward.Key

	for n, at := range s.trials[caller] {
		if !at.IsZero() {
			t := Trial{Print: Print{key.line, key.body, caller}, Number: n + 1}
			keys = append(keys, t.key())
		}
	}

	return keys
}

// allTrialKeys returns the keys of all trials that were made.
func (s *suspect) allTrialKeys(key content) []carobward.Key {
	var keys []carobward.Key
	for caller := range s.trials {
		keys = append(keys, s.trialKeys(key, caller)...)
	}

	return keys
}
