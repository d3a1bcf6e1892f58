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

// The bounds of the settings' values.
const (
	domainMost = 64
	prefixMost = 256
	headerLow  = carobward.Kilobyte
	headerHigh = carobward.Megabyte
	bodyHigh   = 64 * carobward.Megabyte
	callsHigh  = 1 << 20
	timeLow    = time.Millisecond
	timeHigh   = time.Hour
	keepLow    = time.Second
)

var vmForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// failer takes one problem of a key: what would be right and what is there.
type failer func(key, format string, args ...any)

// Validate checks the settings as a whole. The error names every key that is
// wrong, its value and what would be right.
func (s *Settings) Validate() error {
	var all cwjson.Problems

	fail := failer(func(key, format string, args ...any) {
		all = append(all, cwjson.Problem{Place: "settings", Key: key, Text: fmt.Sprintf(format, args...)})
	})

	if !vmForm.MatchString(string(s.VM)) {
		fail("vm", `want the id of this entry VM, small letters, digits, dashes and dots, such as "ifrane-1", got %q`, s.VM)
	}

	if !printable(string(s.Domain), domainMost) {
		fail("domain", `want the failure domain, such as "Ifrane", at most %d characters, got %q`, domainMost, s.Domain)
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

// place tells where in the file each problem is.
func place(err error, places *cwjson.Places) error {
	var all cwjson.Problems
	if !errors.As(err, &all) {
		return err
	}

	for i := range all {
		all[i].Place = places.At(all[i].Key)
	}

	return all
}

func printable(text string, most int) bool {
	if text == "" || utf8.RuneCountInString(text) > most || strings.TrimSpace(text) != text {
		return false
	}

	return strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}

func (l *Listen) validate(k *Keys, fail failer) {
	seen := map[carobward.Address]string{}

	check := func(key string, a carobward.Address, keyed bool) {
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

		if !keyed && !ap.Addr().IsLoopback() {
			fail(key, `want a loopback address or a key file in "keys.%s", got %q and none`, strings.TrimPrefix(key, "listen."), a)
		}
	}

	check("listen.callers", l.Callers, true)
	check("listen.lookup", l.Lookup, true)
	check("listen.peers", l.Peers, k.Peers != "")
	check("listen.operators", l.Operators, k.Operators != "")
}

func (s *Store) validate(fail failer) {
	validateURL("store.url", s.URL, fail)

	if !printable(s.Prefix, prefixMost) || strings.HasPrefix(s.Prefix, "/") || strings.ContainsAny(s.Prefix, "?#%\\ ") {
		fail("store.prefix", `want the start of each key, such as "carobward/atlas/", at most %d characters, got %q`, prefixMost, s.Prefix)
	}
}

// validateURL wants an IP number as the host: an entry VM asks no name
// service.
func validateURL(key, text string, fail failer) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		fail(key, `want an address such as "http://10.0.0.2:8500", got %q`, text)

		return
	}

	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		fail(key, `want an IP number as the host, such as "http://10.0.0.2:8500", got %q`, text)
	}
}

// memoryHigh is 64 GB, beyond the memory of any entry VM.
const memoryHigh = 64 << 30

func (l *Limits) validate(fail failer) {
	fail.unless("limits.header", int64(l.Header), int64(headerLow), int64(headerHigh))
	fail.unless("limits.body", int64(l.Body), 1, int64(bodyHigh))
	fail.unless("limits.bodies", int64(l.Bodies), int64(l.Body), memoryHigh)
	fail.unless("limits.calls", int64(l.Calls), 1, callsHigh)
	fail.unless("limits.conns", int64(l.Conns), 1, callsHigh)
	fail.unless("limits.connsPerIP", int64(l.ConnsPerIP), 1, callsHigh)
	fail.unlessTime("limits.read", l.Read, timeLow)
	fail.unlessTime("limits.write", l.Write, timeLow)
	fail.unlessTime("limits.idle", l.Idle, timeLow)

	if l.Conns < l.Calls {
		fail("limits.conns", `want at least "limits.calls" (%d), since each request in flight holds a connection, got %d`, l.Calls, l.Conns)
	}
}

// unless takes a problem unless a value is from low to high.
func (f failer) unless(key string, v, low, high int64) {
	if v < low || v > high {
		f(key, "want from %d to %d, got %d", low, high, v)
	}
}

// unlessTime takes a problem unless a time is from low to an hour.
func (f failer) unlessTime(key string, v carobward.Duration, low time.Duration) {
	if v.Std() < low || v.Std() > timeHigh {
		f(key, "want a time from %s to %s, got %s", low, timeHigh, v.Std())
	}
}

// stopMore is what a graceful stop needs besides the time that callers keep
// old answers.
const stopMore = 2 * time.Second

func (s *Settings) validateTimes(fail failer) {
	fail.unlessTime("store.timeout", s.Store.Timeout, timeLow)
	fail.unlessTime("list.every", s.List.Every, timeLow)
	fail.unlessTime("keep", s.Keep, keepLow)
	fail.unlessTime("stop", s.Stop, timeLow)

	if s.Stop.Std() < s.Keep.Std()+stopMore {
		fail("stop", `want at least %s more than "keep" (%s), since callers use old answers for that long, got %s`,
			stopMore, s.Keep.Std(), s.Stop.Std())
	}
}

func (t *Trace) validate(fail failer) {
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
