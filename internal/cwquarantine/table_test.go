package cwquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

var start = time.UnixMilli(1_700_000_000_000)

// crashSpec is a crash in short form.
type crashSpec struct {
	caller, server string
	at             time.Duration
}

// call is the request of these tests.
var call = carobward.Call{Method: "GET", Host: "club.example", URI: "/sheets/17"}

func fingerprintOf(caller string) Fingerprint { return FingerprintOf(&call, caller) }

func (s crashSpec) crash() Crash {
	return Crash{Fingerprint: fingerprintOf(s.caller), Server: carobward.Instance(s.server), At: start.Add(s.at), VM: "vm-1", Request: "GET club.example/sheets/17"}
}

// TestDecide checks the decision on a request after crashes and trials.
func TestDecide(t *testing.T) {
	const second = time.Second

	three := []crashSpec{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", second}}
	two := append([]crashSpec{{"b", "1", 0}, {"b", "2", 0}, {"b", "3", second}}, three...)
	forAll := fingerprintOf("a")
	forAll.Caller = Digest{}
	shared := []crashSpec{{"a", "1", 0}, {"a", "2", 0}, {"b", "3", 0}, {"b", "4", 0}, {"c", "5", second}}

	for name, c := range map[string]struct {
		crashes []crashSpec
		trials  []time.Duration
		after   time.Duration
		caller  string
		want    Decision
	}{
		"no crashes":                                  {nil, nil, 0, "a", Decision{}},
		"two servers":                                 {three[:2], nil, 0, "a", Decision{}},
		"the same server thrice":                      {[]crashSpec{three[0], three[0], three[0]}, nil, 0, "a", Decision{}},
		"three servers":                               {three, nil, 2 * second, "a", Decision{Quarantined: true, Wait: 2 * second}},
		"crashes of another caller":                   {three, nil, 2 * second, "b", Decision{}},
		"time for a trial":                            {three, nil, 6 * second, "a", Decision{Quarantined: true, Trial: Trial{Fingerprint: fingerprintOf("a"), Number: 1}, Wait: trialInterval}},
		"after a trial":                               {three, []time.Duration{6 * second}, 16 * second, "a", Decision{Quarantined: true, Wait: 20 * second}},
		"time for another trial":                      {three, []time.Duration{6 * second}, 36 * second, "a", Decision{Quarantined: true, Trial: Trial{Fingerprint: fingerprintOf("a"), Number: 2}, Wait: trialInterval}},
		"after another's trial":                       {two, []time.Duration{6 * second}, 7 * second, "b", Decision{Quarantined: true, Trial: Trial{Fingerprint: fingerprintOf("b"), Number: 1}, Wait: trialInterval}},
		"after the last trial":                        {three, []time.Duration{6 * second, 36 * second}, 61 * second, "a", Decision{Quarantined: true, Wait: crashRetention - 60*second}},
		"all crashes too long ago":                    {three, []time.Duration{6 * second, 36 * second}, crashRetention + second, "a", Decision{}},
		"one crash too long ago":                      {three, nil, crashRetention, "a", Decision{}},
		"four of several callers":                     {shared[:4], nil, 0, "a", Decision{}},
		"five of several callers":                     {shared, nil, 2 * second, "a", Decision{Quarantined: true, Wait: 2 * second}},
		"time for a trial for all callers":            {shared, nil, 6 * second, "d", Decision{Quarantined: true, Trial: Trial{Fingerprint: forAll, Number: 1}, Wait: trialInterval}},
		"five of several callers, for another caller": {shared, nil, 2 * second, "d", Decision{Quarantined: true, Wait: 2 * second}},
		"one server, five callers":                    {[]crashSpec{{"a", "1", 0}, {"b", "1", 0}, {"c", "1", 0}, {"d", "1", 0}, {"e", "1", 0}}, nil, 0, "a", Decision{}},
		"a crash time in the future":                  {[]crashSpec{three[0], three[1], {"a", "3", 24 * time.Hour}}, nil, 2 * second, "a", Decision{Quarantined: true, Wait: 3 * second}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			now := start.Add(c.after)

			for _, s := range c.crashes {
				table.AddCrash(s.crash(), now)
			}

			for n, at := range c.trials {
				table.AddTrial(Trial{Fingerprint: fingerprintOf("a"), Number: n + 1, At: start.Add(at)})
			}

			if diff := cmp.Diff(c.want, table.Decide(fingerprintOf(c.caller), now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAnswered checks that an answer ends the quarantine of a request for its caller, and also for
// other callers if only the crashes of all callers together caused it.
func TestAnswered(t *testing.T) {
	crashes := []crashSpec{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", 0}, {"b", "4", 0}, {"b", "5", 0}, {"c", "1", 0}}

	for name, c := range map[string]struct {
		answered    string
		quarantined map[string]bool
		keys        int
	}{
		"to the quarantined caller": {"a", map[string]bool{"a": false, "b": false, "c": false, "d": false}, 6},
		"to another caller":         {"b", map[string]bool{"a": true, "b": false, "c": false, "d": false}, 3},
		"to a new caller":           {"d", map[string]bool{"a": true, "b": false, "c": false, "d": false}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, s := range crashes {
				table.AddCrash(s.crash(), start)
			}

			if !table.Decide(fingerprintOf("d"), start).Quarantined {
				t.Error("five servers crashed with requests of several callers, and another caller may still send it")
			}

			if keys := table.Answered(fingerprintOf(c.answered)); len(keys) != c.keys {
				t.Errorf("%d keys to delete: %v", len(keys), keys)
			}

			got := map[string]bool{}
			for caller := range c.quarantined {
				got[caller] = table.Decide(fingerprintOf(caller), start).Quarantined
			}

			if diff := cmp.Diff(c.quarantined, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPut checks that a table that gets the crashes and a trial from the store decides as if it had
// recorded them itself, also if trials come before crashes, and that removals release the request.
func TestPut(t *testing.T) {
	crashes := []crashSpec{{"a", "1", 0}, {"a", "2", 0}, {"a", "3", 0}}
	trial := Trial{Fingerprint: fingerprintOf("a"), Number: 1, At: start.Add(time.Second), VM: "vm-2"}

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
	if len(change.Added) != len(crashes) || len(change.Quarantined) != 1 || len(change.Errors) != 0 {
		t.Errorf("%+v", change)
	}

	if diff := cmp.Diff(crashes[0].crash(), change.Added[0]); diff != "" {
		t.Error(diff)
	}

	want := Decision{Quarantined: true, Wait: trialInterval - time.Second}
	if diff := cmp.Diff(want, table.Decide(fingerprintOf("a"), start.Add(2*time.Second))); diff != "" {
		t.Error(diff)
	}

	for i := range items {
		items[i].Value, items[i].Deleted = nil, true
	}

	if change := table.Put(items, start); len(change.Released) != 1 || table.MayContain(&call) {
		t.Errorf("after the removal: %+v", change)
	}
}

// TestTableBounds records many requests with one crash each and one request with several. The table
// must stay small and still quarantine the one with several.
func TestTableBounds(t *testing.T) {
	table := NewTable()

	single := func(n int) Crash {
		c := crashSpec{"a", fmt.Sprint(n), 0}.crash()
		c.Fingerprint = FingerprintOf(&carobward.Call{URI: fmt.Sprint("/", n)}, "a")

		return c
	}

	table.AddCrash(crashSpec{"a", "1", time.Hour}.crash(), start)

	for n := range 10 * maxCrashes {
		table.AddCrash(single(n), start)
	}

	for server := range 10 * maxCallerCrashes {
		table.AddCrash(crashSpec{"a", fmt.Sprint(server), 0}.crash(), start)
	}

	if !table.Decide(fingerprintOf("a"), start).Quarantined {
		t.Error("a request that crashes servers is not quarantined")
	}

	quarantined, crashes := table.Counts(start)
	if quarantined != 1 || crashes > maxCrashes+maxCallerCrashes {
		t.Errorf("%d quarantined, %d crashes", quarantined, crashes)
	}

	outdated := table.Outdated(start, 10*maxCrashes)
	if got := crashes - len(outdated); got != pruneThreshold {
		t.Errorf("%d crashes stay after pruning", got)
	}

	for _, key := range outdated {
		table.Put([]carobward.Item{{Key: key, Deleted: true}}, start)
	}

	if !table.Decide(fingerprintOf("a"), start).Quarantined {
		t.Error("the request that crashes servers was forgotten")
	}

	if later := start.Add(2 * crashRetention); len(table.Outdated(later, 10*maxCrashes)) < pruneThreshold {
		t.Error("old crashes stay")
	}
}

// FuzzPut applies any record that another writer may have stored under the table's keys. It must not
// quarantine a request, and nothing may stay after its removal.
func FuzzPut(f *testing.F) {
	c := crashSpec{"a", "1", 0}.crash()

	raw, err := c.encode()
	if err != nil {
		f.Fatal(err)
	}

	f.Add(string(c.key()), raw)
	f.Add(string((&Trial{Fingerprint: fingerprintOf("a"), Number: 1}).key()), raw)
	f.Add(prefixCrash, []byte("{}"))
	f.Add(prefixTrial+"/9", []byte{})

	f.Fuzz(func(t *testing.T, key string, value []byte) {
		table := NewTable()
		items := []carobward.Item{{Key: carobward.Key(key), Value: value}}

		if change := table.Put(items, start); len(change.Quarantined) > 0 {
			t.Errorf("one record quarantines a request: %+v", change)
		}

		items[0].Deleted = true
		table.Put(items, start)

		if quarantined, crashes := table.Counts(start); quarantined+crashes > 0 {
			t.Errorf("%d crashes stay", crashes)
		}
	})
}
