package delivery

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// moreGrace are further grace periods to play.
var moreGrace []time.Duration

func init() {
	flag.Func("grace", "a further grace period to play, such as 20s; may be given several times", func(text string) error {
		d, err := time.ParseDuration(text)
		moreGrace = append(moreGrace, d)

		return err
	})
}

// newFewRows returns the rows of plays that vary something else.
func newFewRows() map[string]row {
	rows := map[string]row{}

	for _, ahead := range []int{0, 1} {
		b := newBase(ahead)
		rows[fmt.Sprint("base, ", ahead, " ahead")] = b
		rows[fmt.Sprint("unsafe answer of 250 KB in chunks, ", ahead, " ahead")] = vary(b, func(r *row) {
			r.method, r.length, r.framing = http.MethodPost, 250_000, cwstand.FramedByChunks
		})
	}

	return rows
}

// besides is what else happens, by name.
var besides = map[string]struct {
	stops []time.Duration
	// beside is called right before the first signal.
	beside func(t *testing.T, p *play)
}{
	"settings are reloaded": {beside: func(t *testing.T, p *play) { p.VMs[0].Process().Signal(t, syscall.SIGHUP) }},
	"a second signal": {beside: func(t *testing.T, p *play) {
		time.AfterFunc(p.grace/2, func() { p.VMs[0].Process().Signal(t, syscall.SIGTERM) })
	}},
	"the store is away":   {beside: func(_ *testing.T, p *play) { p.StoreProxy.SetFault(cwstand.ProxyResets) }},
	"a new configuration": {beside: func(_ *testing.T, p *play) { p.configure(2) }},
	"one after the other": {stops: []time.Duration{0, grace}},
	"overlapping":         {stops: []time.Duration{0, grace / 2}},
	"all in a second":     {stops: []time.Duration{0, time.Second / 2, time.Second}},
}

// TestAnswersCutBeside guards against answers that are cut by a stop while something else happens.
func TestAnswersCutBeside(t *testing.T) {
	for name, c := range besides {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			if c.stops == nil {
				c.stops = []time.Duration{0}
			}

			p := newPlay(t, grace, len(c.stops)+1, c.stops...)
			p.addAll(t, newFewRows(), *callersPerRow)
			p.run(t, func() {
				if c.beside != nil {
					c.beside(t, p)
				}
			})
			p.check(t)
		})
	}
}

// TestAnswersCutByGrace guards against answers that are cut by a stop with another grace period, and
// against those that servers give shortly before its end.
func TestAnswersCutByGrace(t *testing.T) {
	type play struct {
		grace time.Duration
		goes  bool
	}

	plays := map[string]play{}

	for _, d := range append([]time.Duration{2 * time.Second, grace}, moreGrace...) {
		plays[d.String()] = play{d, false}
		plays[d.String()+", the machine goes"] = play{d, true}
	}

	for name, c := range plays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p := newPlay(t, c.grace, 2, 0)
			p.goes = c.goes
			p.addAll(t, newFewRows(), *callersPerRow)
			p.add(t, "late", vary(newBase(0), func(r *row) { r.late = true }), *callersPerRow)
			p.run(t, func() {})
			p.check(t)
		})
	}
}

// TestRelayedAnswersCut guards against answers that are cut where the entry VM that got the request passed
// it on. It runs alone: to find out who opened a connection takes longer among others.
func TestRelayedAnswersCut(t *testing.T) {
	for name, c := range map[string]struct {
		// from is the entry VM that reaches no server; the first one stops.
		from int
		goes bool
	}{
		"the one that passes on stops": {from: 0}, "the one that passes on goes": {from: 0, goes: true}, "the one that takes stops": {from: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(t, grace, 2, 0)
			p.goes, p.to = c.goes, []int{c.from}
			p.cut(t, c.from)
			p.addAll(t, newFewRows(), *callersPerRow)
			p.run(t, func() {})
			p.check(t)
		})
	}
}

// cut cuts the paths of an entry VM to all servers, and waits until it passes its requests on.
func (p *play) cut(t *testing.T, vm int) {
	t.Helper()

	v := p.VMs[vm]
	p.paths.Cut(v, cwstand.ProxyLosesAll)
	p.answers["cut"] = answer{framing: cwstand.FramedByLength}

	n := 0

	cwtest.Wait(t, "requests to be passed on", func() bool {
		n++

		c := &caller{play: p, row: vary(newBase(0), func(r *row) { r.length = 0 }), name: fmt.Sprint("cut.", n), to: v.Callers}

		conn, err := c.dial()
		if err != nil {
			return false
		}

		defer func() { _ = conn.Close() }()

		c.use(conn, 1)

		return strings.Contains(v.Process().Output(), "Passed a request to another entry VM") && p.fateOf(c.requests[0]) == whole
	})
}
