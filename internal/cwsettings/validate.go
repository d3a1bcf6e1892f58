package cwsettings

import (
	stderrors "errors"
	"net/netip"
	"net/url"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Validate checks the settings as a whole. The error names every key that is
// wrong and what would be right.
func (s *Settings) Validate() error {
	var all []error

	fail := func(format string, args ...any) {
		all = append(all, errors.Errorf(format, args...))
	}

	if s.VM == "" {
		fail(`settings: "vm": want the id of this entry VM, such as "ifrane-1"`)
	}

	if s.Domain == "" {
		fail(`settings: "domain": want the failure domain, such as "Ifrane"`)
	}

	s.Listen.validate(&s.Keys, fail)
	validateURL("store.url", s.Store.URL, fail)
	validateURL("list.url", s.List.URL, fail)
	s.validateNumbers(fail)
	s.Once.validate(s.Keep, fail)
	s.Link.validate(fail)
	s.Trace.validate(fail)

	switch s.Log {
	case "debug", "info", "error":
	default:
		fail(`settings: "log": want debug, info or error, got %q`, s.Log)
	}

	return stderrors.Join(all...)
}

type failer func(format string, args ...any)

func (l *Listen) validate(k *Keys, fail failer) {
	seen := map[carobward.Address]string{}

	check := func(key string, a carobward.Address, keyed bool) {
		ap, err := netip.ParseAddrPort(string(a))
		if err != nil {
			fail(`settings: "listen.%s": want an IP number and a port such as "10.0.0.5:7001", got %q`, key, a)

			return
		}

		if other, ok := seen[a]; ok && ap.Port() != 0 {
			fail(`settings: "listen.%s": %s is the address of "listen.%s" already`, key, a, other)
		}

		seen[a] = key

		if !keyed && !ap.Addr().IsLoopback() {
			fail(`settings: "listen.%s": %s is not loopback, so "keys.%s" must name a key file`, key, a, key)
		}
	}

	check("callers", l.Callers, true)
	check("lookup", l.Lookup, true)
	check("peers", l.Peers, k.Peers != "")
	check("operators", l.Operators, k.Operators != "")
}

func validateURL(key, text string, fail failer) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		fail(`settings: %q: want an address such as "http://10.0.0.2:8500", got %q`, key, text)
	}
}

func (s *Settings) validateNumbers(fail failer) {
	positive := func(key string, ok bool) {
		if !ok {
			fail("settings: %q: want more than zero", key)
		}
	}

	positive("store.timeout", s.Store.Timeout > 0)
	positive("list.every", s.List.Every > 0)
	positive("limits.header", s.Limits.Header > 0)
	positive("limits.body", s.Limits.Body > 0)
	positive("limits.calls", s.Limits.Calls > 0)
	positive("limits.conns", s.Limits.Conns > 0)
	positive("limits.connsPerIP", s.Limits.ConnsPerIP > 0)
	positive("limits.read", s.Limits.Read > 0)
	positive("limits.write", s.Limits.Write > 0)
	positive("limits.idle", s.Limits.Idle > 0)
	positive("keep", s.Keep > 0)
	positive("stop", s.Stop > 0)

	if s.Stop <= s.Keep {
		fail(`settings: "stop": want more than "keep", since callers use old answers for that long`)
	}
}

func (t *Trace) validate(fail failer) {
	switch t.To {
	case TraceOff, TraceStdout:
	case TraceHTTP:
		validateURL("trace.url", t.URL, fail)
	default:
		fail(`settings: "trace.to": want off, stdout or http, got %q`, t.To)
	}

	if t.Share < 0 || t.Share > 1 {
		fail(`settings: "trace.share": want a number from 0 to 1, got %v`, t.Share)
	}
}
