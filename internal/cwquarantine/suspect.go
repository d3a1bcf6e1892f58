package cwquarantine

import (
	"maps"
	"time"

	"carobward.example/carobward"
)

// Parameters of the rule that quarantines a request.
const (
	// crashThreshold is the number of servers that have to crash while a request of the same caller
	// is in flight and unanswered before the request is quarantined. One or two crashes happen by
	// chance: an innocent request beside the one that crashes servers is retried on a second
	// server, and that may crash, too.
	crashThreshold = 3
	// sharedCrashThreshold is the same for one request of several callers together. It is higher
	// because then the request is also refused to callers who have not sent it yet.
	sharedCrashThreshold = 5
	// ResendThreshold is the number of crashes from which an entry VM doesn't retry a request on a
	// second server itself. The caller may still send it again.
	ResendThreshold = 2
	// firstTrialDelay is how long after the last crash a quarantined request is sent once, by one
	// of the entry VMs: an innocent request is answered and then served again. trialInterval is how
	// long after that it is sent once more. A crash fails the other requests on the server, so
	// there are maxTrials in all. Each caller whose own crashes quarantine a request has its own
	// trials: all servers of a service may have crashed at once, while several callers had requests
	// in flight on three of them.
	firstTrialDelay = 3 * time.Second
	trialInterval   = 30 * time.Second
	maxTrials       = 2
	// crashRetention is how long a crash is remembered. By then an operator who was alerted has
	// repaired the servers, or has lifted the quarantine earlier.
	crashRetention = time.Hour
	// maxCrashes bounds the crashes that are remembered, some 500 bytes each; requests that have
	// crashed a server before may take as many again. maxCallerCrashes bounds those of one request
	// of one caller, since more of them add no information.
	maxCrashes       = 256
	maxCallerCrashes = 8
	// pruneThreshold is the number of crashes above which those whose request crashed only one
	// server are forgotten, the oldest first.
	pruneThreshold = 128
)

// Decision is the decision whether a request may be sent.
type Decision struct {
	// Quarantined reports whether the request is quarantined and not sent. The caller may send it
	// again after Wait.
	Quarantined bool
	Wait        time.Duration
	// Trial is the trial that may be claimed to send the quarantined request once. Its number is 0
	// if there is none.
	Trial Trial
}

// suspect is a request that was in flight when servers crashed, with the crashes of all callers.
type suspect struct {
	// callers holds the crashes by caller and by server.
	callers map[Digest]map[Digest]Crash
	// trials holds the time of each trial by caller, with an empty caller for the trials for all
	// callers together.
	trials map[Digest][maxTrials]time.Time
}

func newSuspect() *suspect {
	return &suspect{callers: map[Digest]map[Digest]Crash{}, trials: map[Digest][maxTrials]time.Time{}}
}

// wall returns a time without its monotonic clock reading: records of the store come from other
// clocks, and the monotonic clock stands still while a VM is suspended.
func wall(now time.Time) time.Time { return now.Round(0) }

// decide returns whether a request may be sent.
func (s *suspect) decide(fp Fingerprint, now time.Time) Decision {
	own, last := countCrashes(s.callers[fp.Caller], now)
	if own >= crashThreshold {
		return s.quarantine(fp, last, now)
	}

	callers := 0

	for _, list := range s.callers {
		if n, _ := countCrashes(list, now); n > 0 {
			callers++
		}
	}

	shared, last := countCrashes(s.crashes(), now)
	if callers < 2 || shared < sharedCrashThreshold {
		return Decision{}
	}

	fp.Caller = Digest{}

	return s.quarantine(fp, last, now)
}

// quarantine returns the decision on a request that is quarantined for a caller, or for all callers
// if the fingerprint has none. The argument last is the time of the last crash that counts.
func (s *suspect) quarantine(fp Fingerprint, last, now time.Time) Decision {
	trials := s.trials[fp.Caller]
	due := last.Add(firstTrialDelay)

	for n, at := range trials {
		switch {
		case !at.IsZero():
			due = at.Add(trialInterval)
		case now.Before(due):
			return Decision{Quarantined: true, Wait: due.Sub(now)}
		default:
			return Decision{Quarantined: true, Wait: trialInterval, Trial: Trial{Fingerprint: fp, Number: n + 1}}
		}
	}

	return Decision{Quarantined: true, Wait: last.Add(crashRetention).Sub(now)}
}

// crashes returns the crashes of all callers by server.
func (s *suspect) crashes() map[Digest]Crash {
	all := map[Digest]Crash{}

	for _, list := range s.callers {
		maps.Copy(all, list)
	}

	return all
}

// crashKeys returns the store's keys of the crash of one server, one for each caller.
func (s *suspect) crashKeys(server Digest) []carobward.Key {
	var keys []carobward.Key

	for _, list := range s.callers {
		if c, ok := list[server]; ok {
			keys = append(keys, c.key())
		}
	}

	return keys
}

// countCrashes returns the number of crashes that are not too old, and the time of the last one.
func countCrashes(list map[Digest]Crash, now time.Time) (n int, last time.Time) {
	for _, c := range list {
		if now.Sub(c.At) >= crashRetention {
			continue
		}

		n++

		if c.At.After(last) {
			last = c.At
		}
	}

	return n, last
}

// trialKeys returns the store's keys of the trials that were made for a caller.
func (s *suspect) trialKeys(key contentKey, caller Digest) []carobward.Key {
	var keys []carobward.Key

	for n, at := range s.trials[caller] {
		if !at.IsZero() {
			t := Trial{Fingerprint: Fingerprint{key.line, key.body, caller}, Number: n + 1}
			keys = append(keys, t.key())
		}
	}

	return keys
}

// allTrialKeys returns the store's keys of all trials that were made.
func (s *suspect) allTrialKeys(key contentKey) []carobward.Key {
	var keys []carobward.Key
	for caller := range s.trials {
		keys = append(keys, s.trialKeys(key, caller)...)
	}

	return keys
}
