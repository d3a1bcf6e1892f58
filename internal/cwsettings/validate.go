package cwsettings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwjson"
)

// The limits of the values of the settings.
const (
	maxDomainLength = 64
	maxPrefixLength = 256
	minHeader       = carobward.Kilobyte
	maxHeader       = carobward.Megabyte
	maxBody         = 64 * carobward.Megabyte
	maxCount        = 1 << 20
	minTime         = time.Millisecond
	maxTime         = time.Hour
	minKeep         = time.Second
)

var vmPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// reportFunc reports a problem with a key: what is expected and what is
// there.
type reportFunc func(key, format string, args ...any)

// Validate validates the settings as a whole. The error names each invalid
// key with its value and what is expected.
func (s *Settings) Validate() error {
	var all cwjson.Problems

	fail := reportFunc(func(key, format string, args ...any) {
		all = append(all, cwjson.Problem{Place: "settings", Key: key, Text: fmt.Sprintf(format, args...)})
	})

	if !vmPattern.MatchString(string(s.VM)) {
		fail("vm", `want the id of this entry VM, small letters, digits, dashes and dots, such as "ifrane-1", got %q`, s.VM)
	}

	if !printable(string(s.Domain), maxDomainLength) {
		fail("domain", `want the failure domain, such as "Ifrane", at most %d characters, got %q`, maxDomainLength, s.Domain)
	}

	s.Listen.validate(&s.Keys, fail)
	s.Store.validate(fail)
	validateURL("list.url", s.List.URL, fail)
	s.Once.validate(s.Keep, fail)
	s.Link.validate(fail)
	s.Route.validate(fail)
	s.Probe.validate(fail)
	s.Limits.validate(fail)
	s.validateTimes(fail)
	s.Trace.validate(fail)

	switch s.Log {
	case "debug", "info", "error":
	default:
		fail("log", `want debug, info or error, got %q`, s.Log)
	}

	return all.Err()
}

// setPlaces adds the place in the file to each problem in err.
func setPlaces(err error, places *cwjson.Places) error {
	var all cwjson.Problems
	if !errors.As(err, &all) {
		return err
	}

	for i := range all {
		all[i].Place = places.At(all[i].Key)
	}

	return all
}

func printable(text string, maxLength int) bool {
	if text == "" || utf8.RuneCountInString(text) > maxLength || strings.TrimSpace(text) != text {
		return false
	}

	return strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}

func (l *Listen) validate(k *Keys, fail reportFunc) {
	seen := map[carobward.Address]string{}

	check := func(key string, a carobward.Address, hasKey bool) {
		ap, err := netip.ParseAddrPort(string(a))
		if err != nil {
			fail(key, `want an IP number and a port such as "10.0.0.5:7001", got %q`, a)

			return
		}

		if other, ok := seen[a]; ok && ap.Port() != 0 {
			fail(key, `want an address of its own, got %q, which is %q already`, a, other)
		}

		seen[a] = key

		if ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
			fail(key, `want the address that others use for this VM, got %q`, a)
		}

		if !hasKey && !ap.Addr().IsLoopback() {
			fail(key, `want a loopback address or a key file in "keys.%s", got %q and none`, strings.TrimPrefix(key, "listen."), a)
		}
	}

	check("listen.callers", l.Callers, true)
	check("listen.lookup", l.Lookup, true)
	check("listen.peers", l.Peers, k.Peers != "")
	check("listen.operators", l.Operators, k.Operators != "")
}

func (s *Store) validate(fail reportFunc) {
	validateURL("store.url", s.URL, fail)

	if !printable(s.Prefix, maxPrefixLength) || strings.HasPrefix(s.Prefix, "/") || strings.ContainsAny(s.Prefix, "?#%\\ ") {
		fail("store.prefix", `want the start of each key, such as "carobward/atlas/", at most %d characters, got %q`, maxPrefixLength, s.Prefix)
	}
}

// validateURL requires an IP address as the host, since an entry VM does not
// use DNS.
func validateURL(key, text string, fail reportFunc) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		fail(key, `want an address such as "http://10.0.0.2:8500", got %q`, text)

		return
	}

	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		fail(key, `want an IP number as the host, such as "http://10.0.0.2:8500", got %q`, text)
	}
}

// maxBodies is 64 GB, more than the memory of any entry VM.
const maxBodies = 64 << 30

func (l *Limits) validate(fail reportFunc) {
	fail.checkRange("limits.header", int64(l.Header), int64(minHeader), int64(maxHeader))
	fail.checkRange("limits.body", int64(l.Body), 1, int64(maxBody))
	fail.checkRange("limits.bodies", int64(l.Bodies), int64(l.Body), maxBodies)
	fail.checkRange("limits.calls", int64(l.Calls), 1, maxCount)
	fail.checkRange("limits.conns", int64(l.Conns), 1, maxCount)
	fail.checkRange("limits.connsPerIP", int64(l.ConnsPerIP), 1, maxCount)
	fail.checkTime("limits.read", l.Read, minTime)
	fail.checkTime("limits.write", l.Write, minTime)
	fail.checkTime("limits.idle", l.Idle, minTime)

	if l.Conns < l.Calls {
		fail("limits.conns", `want at least "limits.calls" (%d), since each request in flight holds a connection, got %d`, l.Calls, l.Conns)
	}
}

// checkRange reports a problem unless a value is in the range from low to
// high.
func (f reportFunc) checkRange(key string, v, low, high int64) {
	if v < low || v > high {
		f(key, "want from %d to %d, got %d", low, high, v)
	}
}

// checkTime reports a problem unless a duration is in the range from low to
// maxTime.
func (f reportFunc) checkTime(key string, v carobward.Duration, low time.Duration) {
	if v.Std() < low || v.Std() > maxTime {
		f(key, "want a time from %s to %s, got %s", low, maxTime, v.Std())
	}
}

// minStopMargin is the time that a graceful stop needs in addition to the
// time for which callers use old lookup replies.
const minStopMargin = 2 * time.Second

func (s *Settings) validateTimes(fail reportFunc) {
	fail.checkTime("store.timeout", s.Store.Timeout, minTime)
	fail.checkTime("list.every", s.List.Every, minTime)
	fail.checkTime("keep", s.Keep, minKeep)
	fail.checkTime("stop", s.Stop, minTime)

	if s.Stop.Std() < s.Keep.Std()+minStopMargin {
		fail("stop", `want at least %s more than "keep" (%s), since callers use old answers for that long, got %s`,
			minStopMargin, s.Keep.Std(), s.Stop.Std())
	}
}

func (t *Trace) validate(fail reportFunc) {
	switch t.To {
	case TraceOff, TraceStdout:
	case TraceHTTP:
		validateURL("trace.url", t.URL, fail)
	default:
		fail("trace.to", `want off, stdout or http, got %q`, t.To)
	}

	if t.To != TraceHTTP && t.URL != "" {
		fail("trace.url", `want it left out unless "trace.to" is http, got %q`, t.URL)
	}

	if !(t.Share >= 0 && t.Share <= 1) || math.IsNaN(t.Share) {
		fail("trace.share", `want a number from 0 to 1, got %v`, t.Share)
	}
}
