package cwdrain

import (
	"time"

	"carobward.example/carobward"
)

// CheckResult is the result of one health check.
type CheckResult uint8

// The results of a health check.
const (
	// Healthy: the health endpoint reported that the server serves requests.
	Healthy CheckResult = iota
	// Draining: it reported that the server takes no new requests.
	Draining
	// Refused: the connection was refused, so nothing listens at the address.
	Refused
	// NoResult: there was no answer or an unusable one, which says nothing
	// about leaving.
	NoResult
)

var checkNames = [...]string{Healthy: "fine", Draining: "draining", Refused: "refused", NoResult: "silent"}

// String returns the name of the result.
func (c CheckResult) String() string {
	if int(c) < len(checkNames) {
		return checkNames[c]
	}

	return "unknown"
}

// minHealthy is how many healthy answers in a row reset a mark that health checks
// have set (see Mark). They also reset a mark announced by the server if a
// connection was refused in between, since another run of the server then listens
// at the address.
const minHealthy = 3

// ApplyCheck processes the result of a health check that was sent at the given
// time. A check sent before a mark was set is no evidence against that mark.
func (t *Table) ApplyCheck(sent, now time.Time, a carobward.Address, c CheckResult) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if c == Draining && t.active(key{a, Health}) == nil {
		t.set(now, key{a, Health}, true, 0)
	}

	for _, s := range []Source{Health, Announced} {
		e := t.active(key{a, s})
		if e == nil || t.uptime-e.setAt < now.Sub(sent) {
			continue
		}

		e.observe(c)

		if e.healthy >= minHealthy && (s == Health || e.refused) {
			t.set(now, key{a, s}, false, e.Run)
		}
	}
}

// observe updates the counters of an entry after a health check.
func (e *entry) observe(c CheckResult) {
	switch c {
	case Healthy:
		e.healthy++
	case Refused:
		e.refused = true
		e.healthy = 0
	case Draining, NoResult:
		e.healthy = 0
	}
}
