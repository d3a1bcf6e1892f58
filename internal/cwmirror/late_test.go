package cwmirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

const (
	lateKey       = "servers/a"
	testHeartbeat = 1500 * time.Millisecond
)

// lateValue is the value of a server's entry in these tests.
type lateValue struct {
	start   carobward.Start
	write   uint64
	leaving bool
}

func (v lateValue) encode() []byte { return fmt.Appendf(nil, "%d %d %t", v.start, v.write, v.leaving) }

// decodeLate returns the zero value for one that can't be read.
func decodeLate(raw []byte) lateValue {
	var v lateValue
	if _, err := fmt.Sscanf(string(raw), "%d %d %t", &v.start, &v.write, &v.leaving); err != nil {
		return lateValue{}
	}

	return v
}

func newLateMirror() *Mirror {
	return New(Options{
		Rank: func(_ carobward.Key, raw []byte) carobward.Rank {
			v := decodeLate(raw)

			return carobward.Rank{Start: v.start, Write: v.write}
		},
		Retention: func(carobward.Item) time.Duration { return retention }, Heartbeat: testHeartbeat,
		IsRouting: func(carobward.Key) bool { return false }, IsBackend: func(carobward.Key) bool { return true },
	})
}

// effectiveLate returns the effective value, or nil if there is none.
func effectiveLate(m *Mirror) *lateValue {
	raw := m.Get(lateKey)
	if raw == nil {
		return nil
	}

	v := decodeLate(raw)

	return &v
}

// TestLateWrite verifies that a write of a server that the store executes late does not take the
// place of a newer one, and that a server whose numbers go back is used again.
func TestLateWrite(t *testing.T) {
	type step struct {
		after time.Duration
		// value is written, or the key removed if it is nil; raw is written as it stands.
		value *lateValue
		raw   string
	}

	ready := func(write uint64) *lateValue { return &lateValue{1, write, false} }
	leaving := func(write uint64) *lateValue { return &lateValue{1, write, true} }

	for name, c := range map[string]struct {
		steps []step
		// wait is how long after the last step the value is read.
		wait time.Duration
		want *lateValue
		// alone is set if the steps make another end when all come at once.
		alone bool
	}{
		"in order":                      {[]step{{0, ready(1), ""}, {testHeartbeat, leaving(2), ""}}, 0, leaving(2), false},
		"one late":                      {[]step{{0, ready(1), ""}, {0, leaving(3), ""}, {time.Second, ready(2), ""}}, 0, leaving(3), false},
		"one late, for long":            {[]step{{0, ready(1), ""}, {0, leaving(3), ""}, {time.Second, ready(2), ""}}, time.Minute, leaving(3), false},
		"several late, out of order":    {[]step{{0, leaving(9), ""}, {0, ready(7), ""}, {time.Second, ready(4), ""}}, time.Minute, leaving(9), false},
		"late, then the next":           {[]step{{0, leaving(3), ""}, {0, ready(2), ""}, {time.Second, leaving(4), ""}}, 0, leaving(4), false},
		"late, next, late":              {[]step{{0, leaving(5), ""}, {0, ready(2), ""}, {time.Second, leaving(6), ""}, {2 * time.Second, ready(3), ""}}, time.Second, leaving(6), false},
		"after the removal":             {[]step{{0, leaving(3), ""}, {0, nil, ""}, {time.Second, ready(2), ""}}, time.Minute, nil, false},
		"newest, after the removal":     {[]step{{0, ready(3), ""}, {0, nil, ""}, {time.Second, ready(4), ""}}, time.Minute, nil, false},
		"two late after the removal":    {[]step{{0, ready(3), ""}, {0, nil, ""}, {time.Second, ready(2), ""}, {time.Second, ready(4), ""}}, time.Minute, nil, false},
		"back after the removal":        {[]step{{0, ready(3), ""}, {0, nil, ""}, {time.Second, ready(4), ""}, {testHeartbeat, ready(5), ""}}, 0, ready(5), false},
		"the same after the removal":    {[]step{{0, ready(3), ""}, {0, nil, ""}, {time.Second, ready(3), ""}}, 0, ready(3), false},
		"another process":               {[]step{{0, leaving(9), ""}, {0, &lateValue{2, 1, false}, ""}}, 0, &lateValue{2, 1, false}, false},
		"of the former process":         {[]step{{0, &lateValue{2, 1, false}, ""}, {0, leaving(9), ""}}, time.Minute, &lateValue{2, 1, false}, false},
		"another process after removal": {[]step{{0, leaving(9), ""}, {0, nil, ""}, {0, &lateValue{2, 1, false}, ""}}, 0, &lateValue{2, 1, false}, false},
		"numbers go back, first":        {[]step{{0, ready(90), ""}, {0, ready(1), ""}}, time.Minute, ready(90), false},
		"numbers go back, next":         {[]step{{0, ready(90), ""}, {0, ready(1), ""}, {testHeartbeat, ready(2), ""}}, 0, ready(2), true},
		"numbers go back by few":        {[]step{{0, leaving(5), ""}, {0, ready(1), ""}, {testHeartbeat, ready(2), ""}}, time.Minute, leaving(5), false},
		"numbers go back by few, later": {[]step{{0, leaving(5), ""}, {0, ready(1), ""}, {maxLateness, ready(2), ""}}, 0, ready(2), true},
		"numbers go back after removal": {[]step{{0, ready(90), ""}, {0, nil, ""}, {0, ready(1), ""}, {testHeartbeat, ready(2), ""}}, 0, ready(2), true},
		"start time goes back":          {[]step{{0, &lateValue{9, 5, true}, ""}, {0, ready(1), ""}, {maxLateness, ready(2), ""}}, 0, ready(2), true},
		"a number far too high":         {[]step{{0, ready(3), ""}, {0, ready(1 << 60), ""}, {0, leaving(4), ""}, {testHeartbeat, leaving(5), ""}}, 0, leaving(5), true},
		"without a number":              {[]step{{0, leaving(3), ""}, {0, nil, "broken"}}, 0, &lateValue{}, false},
		"without a start":               {[]step{{0, leaving(3), ""}, {0, &lateValue{0, 2, false}, ""}}, 0, &lateValue{0, 2, false}, false},
		"late after one without start":  {[]step{{0, leaving(3), ""}, {0, &lateValue{0, 9, false}, ""}, {time.Second, ready(2), ""}}, time.Minute, &lateValue{0, 9, false}, false},
		"late after one without":        {[]step{{0, leaving(3), ""}, {0, nil, "broken"}, {time.Second, ready(2), ""}}, time.Minute, &lateValue{}, false},
		"next after one without":        {[]step{{0, ready(3), ""}, {0, nil, "broken"}, {time.Second, ready(4), ""}}, 0, ready(4), false},
	} {
		// All come at once, as to one that was away, or one after the other. Numbers that go back by
		// few need time to show it.
		modes := []bool{false, true}
		if c.alone {
			modes = modes[:1]
		}

		for _, together := range modes {
			t.Run(fmt.Sprintf("%s, together %t", name, together), func(t *testing.T) {
				m, now := newLateMirror(), start
				effective := func() *lateValue { return effectiveLate(m) }

				// What is passed on has to be what is effective.
				var last *lateValue

				changed := func(list []carobward.Item) {
					for _, it := range list {
						last = nil
						if !it.Deleted {
							v := decodeLate(it.Value)
							last = &v
						}
					}
				}

				m.ApplyAndNotify(fullList(1), now, changed)

				var list []carobward.Item

				for i, s := range c.steps {
					now = now.Add(s.after)
					it := carobward.Item{Key: lateKey, Index: carobward.StoreIndex(i + 2)}

					switch {
					case s.value != nil:
						it.Value = s.value.encode()
					case s.raw != "":
						it.Value = []byte(s.raw)
					default:
						it.Deleted = true
					}

					list = append(list, it)

					if !together || i == len(c.steps)-1 {
						m.ApplyAndNotify(carobward.Changes{Items: list, After: m.State().Index, Index: it.Index}, now, changed)
						list = nil
					}

					m.Sweep(now, changed)
				}

				now = now.Add(c.wait)
				m.Sweep(now, changed)

				if diff := cmp.Diff([]*lateValue{c.want, c.want}, []*lateValue{effective(), last}, cmp.AllowUnexported(lateValue{})); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// lateHistory is a store, a server that writes its entry there and replicas.
type lateHistory struct {
	rnd *rand.Rand
	now time.Time

	index  carobward.StoreIndex
	events []carobward.Item
	// calls are the writes that the store has yet to execute.
	calls []lateCall

	value    lateValue
	running  bool
	nextBeat time.Time
	leaveAt  time.Time
	exitAt   time.Time
	// steadySince is since when each write is executed at once and in order.
	steadySince time.Time
	lateShare   float64

	replicas []*lateReplica
}

type lateCall struct {
	at time.Time
	carobward.Item
}

type lateReplica struct {
	*Mirror

	// until is when it next updates from the store or another replica.
	until time.Time
	since time.Time
	// newest is the newest rank with which it knew that the process leaves.
	newest lateValue
}

func newLateHistory(seed uint64) *lateHistory {
	h := &lateHistory{rnd: rand.New(rand.NewPCG(seed, 3)), now: start, lateShare: 0.35}

	for range 4 {
		h.replicas = append(h.replicas, &lateReplica{Mirror: newLateMirror(), since: h.now})
	}

	h.startServer()

	return h
}

func (h *lateHistory) draw(longest time.Duration) time.Duration {
	return time.Duration(h.rnd.Int64N(int64(longest)))
}

// startServer starts the next process of the server.
func (h *lateHistory) startServer() {
	h.value = lateValue{start: h.value.start + 1}
	h.running, h.nextBeat = true, h.now
	h.leaveAt = h.now.Add(5*time.Second + h.draw(20*time.Second))
	h.exitAt = h.leaveAt.Add(2*time.Second + h.draw(6*time.Second))
	h.steadySince = h.now
}

// write makes the server write its entry. The store may execute it late.
func (h *lateHistory) write() {
	h.value.write++
	h.value.leaving = !h.now.Before(h.leaveAt)

	at := h.now
	if h.rnd.Float64() < h.lateShare {
		at = at.Add(time.Second + h.draw(5*time.Second))
		h.steadySince = at
	}

	h.calls = append(h.calls, lateCall{at, carobward.Item{Key: lateKey, Value: h.value.encode()}})
}

// execute executes the calls that are due.
func (h *lateHistory) execute() {
	var waiting []lateCall

	for _, c := range h.calls {
		if c.at.After(h.now) {
			waiting = append(waiting, c)

			continue
		}

		h.index++
		c.Index = h.index
		h.events = append(h.events, c.Item)
	}

	h.calls = waiting
}

// step advances the clock.
func (h *lateHistory) step() {
	h.now = h.now.Add(100 * time.Millisecond)

	if h.running && !h.now.Before(h.nextBeat) {
		h.nextBeat = h.now.Add(testHeartbeat)
		h.write()
	}

	if h.running && !h.now.Before(h.exitAt) {
		h.running = false
		h.nextBeat = h.now.Add(5*time.Second + h.draw(5*time.Second))
		h.calls = append(h.calls, lateCall{h.now, carobward.Item{Key: lateKey, Deleted: true}})
	}

	if !h.running && !h.now.Before(h.nextBeat) {
		h.startServer()
	}

	h.execute()

	for i, r := range h.replicas {
		if !h.now.Before(r.until) {
			h.update(i)
		}

		r.Sweep(h.now, func([]carobward.Item) {})
	}
}

// update updates a replica from the store or from another replica, or replaces it by a new one.
func (h *lateHistory) update(i int) {
	r := h.replicas[i]
	r.until = h.now.Add(h.draw(500 * time.Millisecond))

	switch n := h.rnd.IntN(60); {
	case n == 0: // It starts anew: it lists all keys and asks another one what it keeps.
		next := &lateReplica{Mirror: newLateMirror(), since: h.now}
		h.replicas[i] = next
		next.Apply(h.list(), h.now)
		h.fetch(next, h.replicas[(i+1)%len(h.replicas)])
	case n == 1: // It sleeps.
		r.until = h.now.Add(h.draw(8 * time.Second))
		r.since = r.until.Add(time.Second)
	case n < 20:
		r.Apply(h.list(), h.now)
	case n < 40:
		h.fetch(r, h.replicas[h.rnd.IntN(len(h.replicas))])
	default:
		r.Apply(carobward.Changes{Items: h.after(r.State().Index), After: r.State().Index, Index: h.index}, h.now)
	}
}

func (h *lateHistory) fetch(to, from *lateReplica) {
	if to == from {
		return
	}

	c := from.Since(to.State())
	c.Retained, c.HoldDeletes = from.Kept(h.now), from.HoldRemaining(h.now)
	to.Apply(c, h.now)
}

func (h *lateHistory) after(index carobward.StoreIndex) []carobward.Item {
	return slices.DeleteFunc(slices.Clone(h.events), func(it carobward.Item) bool { return it.Index <= index })
}

func (h *lateHistory) list() carobward.Changes {
	c := carobward.Changes{Full: true, Index: h.index}
	if n := len(h.events); n > 0 && !h.events[n-1].Deleted {
		c.Items = h.events[n-1:]
	}

	return c
}

// check returns what is wrong: a replica that knew that a process leaves or is gone has it as ready
// again; or it lacks a server that has been ready for two heartbeats without a late write.
func (h *lateHistory) check() string {
	for i, r := range h.replicas {
		v := effectiveLate(r.Mirror)

		switch {
		case v == nil:
		case v.leaving:
			r.newest = *v
		case v.start < r.newest.start, v.start == r.newest.start && v.write < r.newest.write:
			return fmt.Sprintf("replica %d has %+v, and knew %+v", i, *v, r.newest)
		}

		const settle = 2*testHeartbeat + time.Second

		ready := h.running && h.now.Before(h.leaveAt) && h.now.Sub(h.steadySince) > settle && h.now.Sub(r.since) > settle
		if ready && (v == nil || v.start != h.value.start) {
			return fmt.Sprintf("replica %d has %v while %+v is ready", i, v, h.value)
		}
	}

	return ""
}

// TestLateWriteHistory draws servers that leave, exit and start again while the store executes a third of
// their writes 1 to 6 s late, and replicas that list, watch, sleep, start and update each other.
func TestLateWriteHistory(t *testing.T) {
	for seed := range uint64(300) {
		h := newLateHistory(seed)

		for range 1500 {
			h.step()

			if wrong := h.check(); wrong != "" {
				t.Errorf("seed %d, %s after the start: %s", seed, h.now.Sub(start), wrong)

				break
			}
		}
	}
}
