package cwquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

var start = time.UnixMilli(1_700_000_000_000)

// seen is what happened to requests, in short: crashes by caller and server.
type seen struct {
	caller, server string
	at             time.Duration
}

// sheet is a request.
var sheet = carobward.Call{Method: "GET", Host: "club.example", URI: "/sheets/17"}

func printBy(caller string) Print { return PrintOf(&sheet, caller) }

func (s seen) crash() Crash {
	return Crash{Print: printBy(s.caller), Server: carobward.Instance(s.server), At: start.Add(s.at), VM: "vm-1", Request: "GET club.example/sheets/17"}
}

// TestDecide has crashes under one request against what happens to it next.
func TestDecide(t *testing.T) {
	const second = time.Second

	three := []seen{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", second}}
	two := append([]seen{{"b", "1", 0}, {"b", "2", 0}, {"b", "3", second}}, three...)
	forAll := printBy("a")
	forAll.Caller = Digest{}
	shared := []seen{{"a", "1", 0}, {"a", "2", 0}, {"b", "3", 0}, {"b", "4", 0}, {"c", "5", second}}

	for name, c := range map[string]struct {
		crashes []seen
		trials  []time.Duration
		after   time.Duration
		caller  string
		want    Decision
	}{
		"none":                     {nil, nil, 0, "a", Decision{}},
		"two servers":              {three[:2], nil, 0, "a", Decision{}},
		"the same server thrice":   {[]seen{three[0], three[0], three[0]}, nil, 0, "a", Decision{}},
		"three servers":            {three, nil, 2 * second, "a", Decision{Held: true, Wait: 2 * second}},
		"of another caller":        {three, nil, 2 * second, "b", Decision{}},
		"time for a trial":         {three, nil, 6 * second, "a", Decision{Held: true, Trial: Trial{Print: printBy("a"), Number: 1}, Wait: trialNext}},
		"after a trial":            {three, []time.Duration{6 * second}, 16 * second, "a", Decision{Held: true, Wait: 20 * second}},
		"time for another trial":   {three, []time.Duration{6 * second}, 36 * second, "a", Decision{Held: true, Trial: Trial{Print: printBy("a"), Number: 2}, Wait: trialNext}},
		"after another's trial":    {two, []time.Duration{6 * second}, 7 * second, "b", Decision{Held: true, Trial: Trial{Print: printBy("b"), Number: 1}, Wait: trialNext}},
		"after the last trial":     {three, []time.Duration{6 * second, 36 * second}, 61 * second, "a", Decision{Held: true, Wait: keepTime - 60*second}},
		"long after":               {three, []time.Duration{6 * second, 36 * second}, keepTime + second, "a", Decision{}},
		"one too long ago":         {three, nil, keepTime, "a", Decision{}},
		"four of several callers":  {shared[:4], nil, 0, "a", Decision{}},
		"five of several callers":  {shared, nil, 2 * second, "a", Decision{Held: true, Wait: 2 * second}},
		"time for all callers":     {shared, nil, 6 * second, "d", Decision{Held: true, Trial: Trial{Print: forAll, Number: 1}, Wait: trialNext}},
		"five and another caller":  {shared, nil, 2 * second, "d", Decision{Held: true, Wait: 2 * second}},
		"one server, five callers": {[]seen{{"a", "1", 0}, {"b", "1", 0}, {"c", "1", 0}, {"d", "1", 0}, {"e", "1", 0}}, nil, 0, "a", Decision{}},
		"a clock that is ahead":    {[]seen{three[0], three[1], {"a", "3", 24 * time.Hour}}, nil, 2 * second, "a", Decision{Held: true, Wait: 3 * second}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			now := start.Add(c.after)

			for _, s := range c.crashes {
				table.Add(s.crash(), now)
			}

			for n, at := range c.trials {
				table.Tried(Trial{Print: printBy("a"), Number: n + 1, At: start.Add(at)})
			}

			if diff := cmp.Diff(c.want, table.Decide(printBy(c.caller), now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAnswered wants an answer to end the quarantine of a request for its caller, and
// for others where only all callers together gave cause for it.
func TestAnswered(t *testing.T) {
	crashes := []seen{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", 0}, {"b", "4", 0}, {"b", "5", 0}, {"c", "1", 0}}

	for name, c := range map[string]struct {
		answered string
		held     map[string]bool
		keys     int
	}{
		"of the one that is quarantined": {"a", map[string]bool{"a": false, "b": false, "c": false, "d": false}, 6},
		"of another one":                 {"b", map[string]bool{"a": true, "b": false, "c": false, "d": false}, 3},
		"of a new one":                   {"d", map[string]bool{"a": true, "b": false, "c": false, "d": false}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, s := range crashes {
				table.Add(s.crash(), start)
			}

			if !table.Decide(printBy("d"), start).Held {
				t.Error("five servers ended under requests of several callers, another one may send it")
			}

			if keys := table.Answered(printBy(c.answered)); len(keys) != c.keys {
				t.Errorf("%d keys go: %v", len(keys), keys)
			}

			got := map[string]bool{}
			for caller := range c.held {
				got[caller] = table.Decide(printBy(caller), start).Held
			}

			if diff := cmp.Diff(c.held, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPut wants a table that follows the store to decide as the one that wrote there,
// also where it gets the trials before the crashes, and removals.
func TestPut(t *testing.T) {
	crashes := []seen{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", 0}}
	trial := Trial{Print: printBy("a"), Number: 1, At: start.Add(time.Second), VM: "vm-2"}

	raw, err := trial.encode()
	if err != nil {
		t.Fatal(err)
	}

	items := []carobward.Item{{Key: "servers/i-1", Value: []byte("{")}, {Key: trial.key(), Value: raw}}

	for _, s := range crashes {
		c := s.crash()

		raw, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}

		items = append(items, carobward.Item{Key: c.key(), Value: raw})
	}

	table := NewTable()

	change := table.Put(items, start)
	if len(change.Added) != len(crashes) || len(change.Held) != 1 || len(change.Wrong) != 0 {
		t.Errorf("%+v", change)
	}

	if diff := cmp.Diff(crashes[0].crash(), change.Added[0]); diff != "" {
		t.Error(diff)
	}

	want := Decision{Held: true, Wait: trialNext - time.Second}
	if diff := cmp.Diff(want, table.Decide(printBy("a"), start.Add(2*time.Second))); diff != "" {
		t.Error(diff)
	}

	for i := range items {
		items[i].Value, items[i].Gone = nil, true
	}

	if change := table.Put(items, start); len(change.Freed) != 1 || table.Watches(&sheet) {
		t.Errorf("after the removal: %+v", change)
	}
}

// TestRoom sends requests under which a server ends, each another one, and wants the
// table to stay small and still to find one that ends several.
func TestRoom(t *testing.T) {
	table := NewTable()

	odd := func(n int) Crash {
		c := seen{"a", fmt.Sprint(n), 0}.crash()
		c.Print = PrintOf(&carobward.Call{URI: fmt.Sprint("/", n)}, "a")

		return c
	}

	table.Add(seen{"a", "1", time.Hour}.crash(), start)

	for n := range 10 * recordsMost {
		table.Add(odd(n), start)
	}

	for server := range 10 * keptMost {
		table.Add(seen{"a", fmt.Sprint(server), 0}.crash(), start)
	}

	if !table.Decide(printBy("a"), start).Held {
		t.Error("a request that ends servers is sent on")
	}

	held, crashes := table.Counts(start)
	if held != 1 || crashes > recordsMost+keptMost {
		t.Errorf("%d quarantined, %d crashes", held, crashes)
	}

	gone := table.Outdated(start, 10*recordsMost)
	if got := crashes - len(gone); got != recordsMany {
		t.Errorf("%d crashes stay", got)
	}

	for _, key := range gone {
		table.Put([]carobward.Item{{Key: key, Gone: true}}, start)
	}

	if !table.Decide(printBy("a"), start).Held {
		t.Error("the one that ends servers was forgotten")
	}

	if later := start.Add(2 * keepTime); len(table.Outdated(later, 10*recordsMost)) < recordsMany {
		t.Error("crashes of long ago stay")
	}
}

// FuzzPut gives the table what another writer may have put where its records are.
func FuzzPut(f *testing.F) {
	c := seen{"a", "1", 0}.crash()

	raw, err := c.encode()
	if err != nil {
		f.Fatal(err)
	}

	f.Add(string(c.key()), raw)
	f.Add(string((&Trial{Print: printBy("a"), Number: 1}).key()), raw)
	f.Add(prefixCrash, []byte("{}"))
	f.Add(prefixTrial+"/9", []byte{})

	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := NewTable()
		items := []carobward.Item{{Key: carobward.Key(key), Value: value}}

		if change := table.Put(items, start); len(change.Held) > 0 {
			t.Errorf("one record holds a request: %+v", change)
		}

		items[0].Gone = true
		table.Put(items, start)

		if held, crashes := table.Counts(start); held+crashes > 0 {
			t.Errorf("%d crashes stay", crashes)
		}
	})
}
