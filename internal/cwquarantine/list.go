package cwquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Entry is one request that was in flight when servers crashed, for operators.
type Entry struct {
	Fingerprint Fingerprint
	// Crashes are ordered by time, the newest last.
	Crashes []Crash
	// Trials is the number of trials that were made.
	Trials int

	Decision
}

// List returns all requests that were in flight when servers crashed, quarantined ones first.
func (t *Table) List(now time.Time) []Entry {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var all []Entry

	for key, s := range t.suspects {
		for caller, list := range s.callers {
			e := Entry{Fingerprint: Fingerprint{key.line, key.body, caller}, Trials: len(s.trialKeys(key, caller)) + len(s.trialKeys(key, Digest{}))}
			e.Decision = s.decide(e.Fingerprint, wall(now))

			for _, c := range list {
				e.Crashes = append(e.Crashes, c)
			}

			slices.SortFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
			all = append(all, e)
		}
	}

	slices.SortFunc(all, func(a, b Entry) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}

			return 1
		}

		return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String())
	})

	return all
}

// Counts returns the number of quarantined requests and of crashes.
func (t *Table) Counts(now time.Time) (quarantined, crashes int) {
	for _, e := range t.List(now) {
		if e.Quarantined {
			quarantined++
		}

		crashes += len(e.Crashes)
	}

	return quarantined, crashes
}
