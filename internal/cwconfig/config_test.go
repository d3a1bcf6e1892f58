package cwconfig

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
)

// target returns a valid target. The service distinguishes versions of it.
func target(name, service string) carobward.Target {
	return carobward.Target{
		Name: carobward.TargetName(name), Service: carobward.Service(service), Promise: carobward.Quick,
		Match:  []carobward.Match{{Path: "/" + name}},
		Within: carobward.Duration(time.Second), Body: carobward.Kilobyte,
	}
}

// put returns a change that puts targets with the given names.
func put(id, author string, base int, names ...string) Change {
	c := Change{ID: carobward.ChangeID(id), Author: author, Base: carobward.Revision(base)}
	for _, n := range names {
		c.Put = append(c.Put, target(n, id))
	}

	return c
}

// history returns the configurations of revisions 0 to n, and the changes that
// lead from one to the next.
func history(t testing.TB, n int, prefix string) ([]*Config, []Change) {
	t.Helper()

	configs := []*Config{{}}

	var changes []Change

	for i := range n {
		next, accepted, err := configs[i].With(put(fmt.Sprintf("%s%d", prefix, i+1), "ana", i, fmt.Sprintf("t%d", i%5)))
		if err != nil {
			t.Fatal(err)
		}

		configs, changes = append(configs, next), append(changes, accepted)
	}

	return configs, changes
}

func TestReplay(t *testing.T) {
	configs, changes := history(t, 6, "a")
	_, diverging := history(t, 6, "b")

	replacement := Change{ID: "whole", Base: 8, Revision: 9, FullSet: &configs[2].Set}
	replacement.Chain, _ = replacement.chainAfter("")

	broken := changes[3]
	broken.Put = []carobward.Target{target("t3", "")}
	broken.Chain, _ = broken.chainAfter(changes[2].Chain)

	for name, test := range map[string]struct {
		from    *Config
		changes []Change
		want    carobward.Revision
		err     func(error) bool
	}{
		"all from revision 0":       {configs[0], changes, 6, nil},
		"overlapping changes":       {configs[4], changes[2:], 6, nil},
		"next change only":          {configs[4], changes[4:5], 5, nil},
		"no newer changes":          {configs[6], changes[3:], 6, nil},
		"older changes only":        {configs[6], changes[:3], 6, nil},
		"no changes":                {configs[3], nil, 3, nil},
		"gap":                       {configs[2], changes[3:], 0, func(err error) bool { return errors.Is(err, ErrGap) }},
		"diverged, same revision":   {configs[4], diverging[:4], 0, isDiverged},
		"diverged, next revision":   {configs[4], diverging[4:], 0, isDiverged},
		"full set after a gap":      {configs[2], []Change{replacement}, 9, nil},
		"full set after divergence": {configs[6], append(diverging[3:4:4], replacement), 9, nil},
		"invalid target":            {configs[3], []Change{broken}, 0, func(err error) bool { return errors.Is(err, ErrUnreadable) }},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := test.from.Replay(test.changes)
			if test.err != nil {
				if !test.err(err) {
					t.Errorf("unexpected error %v", err)
				}

				return
			}

			if err != nil || got.Revision != test.want {
				t.Fatalf("got %+v, %v, want revision %d", got, err, test.want)
			}

			if int(test.want) < len(configs) {
				if diff := cmp.Diff(configs[test.want], got); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestCheckConflicts(t *testing.T) {
	changes := []Change{put("a", "ana", 3, "fee"), put("b", "bo", 4, "sheet"), {ID: "c", Author: "cy", Base: 5, Measure: &cwtarget.Measure{}}}
	for i := range changes {
		changes[i].Revision = carobward.Revision(4 + i)
	}

	measure := Change{ID: "m", Base: 4, Measure: &cwtarget.Measure{Calls: 1}}

	for name, test := range map[string]struct {
		change Change
		want   string
	}{
		"newest base":      {put("x", "me", 6, "fee"), ""},
		"other target":     {put("x", "me", 4, "gate"), ""},
		"base has change":  {put("x", "me", 4, "fee"), ""},
		"same target":      {put("x", "me", 4, "sheet"), `config: target "sheet" was changed in revision 5 by bo (change b) after your base`},
		"dropped target":   {Change{ID: "x", Base: 3, Drop: []carobward.TargetName{"fee"}}, `config: target "fee" was changed in revision 4 by ana (change a) after your base`},
		"measuring budget": {measure, "config: the measuring budget was changed in revision 6 by cy (change c) after your base"},
		"base too old":     {put("x", "me", 2, "gate"), ErrBaseTooOld.Error()},
		"future base":      {put("x", "me", 7, "gate"), "config: base 7 is not accepted yet, the last revision is 6"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if err := checkConflicts(&test.change, changes, 6); err != nil {
				got = err.Error()
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCheckRevert verifies that applying the same content again does not revert
// another author's later change.
func TestCheckRevert(t *testing.T) {
	mine := put("x", "me", 9, "fee")
	mine.Source = "files"
	accepted, other, own := mine, put("o", "bo", 2, "fee"), put("p", "me", 2, "fee")

	for name, test := range map[string]struct {
		changes []Change
		refused bool
	}{
		"not applied yet":              {[]Change{other}, false},
		"no change since":              {[]Change{other, accepted}, false},
		"another author's since":       {[]Change{accepted, other}, true},
		"same author's since":          {[]Change{accepted, own}, false},
		"applied again":                {[]Change{accepted, own, accepted}, false},
		"another author, other target": {[]Change{accepted, put("q", "bo", 2, "gate")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := CheckRevert(&mine, test.changes); (err != nil) != test.refused {
				t.Errorf("unexpected result of CheckRevert: %v", err)
			}
		})
	}
}

// TestHeadLimits verifies that a head stays within its limits and drops
// no changes that the snapshot doesn't include.
func TestHeadLimits(t *testing.T) {
	large := put("large", "ana", 20)
	for i := range 200 {
		large.Put = append(large.Put, target(fmt.Sprintf("l%d", i), "large"))
	}

	_, changes := history(t, 40, "a")
	head := Head{Format: format}
	snapshotAt := carobward.Revision(0)

	for i, c := range changes {
		if i == 20 {
			c.Put = large.Put
		}

		next, before := head.With(c)
		if before > c.Revision-1 {
			t.Fatalf("revision %d requires a snapshot of %d, which is not accepted yet", c.Revision, before)
		}

		if snapshotAt = max(snapshotAt, before); next.Base() > snapshotAt {
			t.Fatalf("revision %d drops changes that are not in the snapshot", c.Revision)
		}

		total := 0
		for j := range next.Changes {
			total += jsonSize(&next.Changes[j])
		}

		if len(next.Changes) > maxHeadChanges || (total > maxHeadBytes && len(next.Changes) > 1) {
			t.Errorf("revision %d: the head has %d changes with %d bytes, more than allowed", c.Revision, len(next.Changes), total)
		}

		head = next
	}
}

func FuzzHead(f *testing.F) {
	_, changes := history(f, 3, "a")
	raw, _ := encode(Head{Format: format, Changes: changes})
	f.Add(raw)
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`{"format":1,"changes":[{"id":"a","revision":1,"chain":"x","drop":["\ufffd\u2028<"]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		head, err := DecodeHead(raw)
		if err != nil {
			if !errors.Is(err, ErrUnreadable) {
				t.Errorf("got %v, want ErrUnreadable", err)
			}

			return
		}

		again, err := encode(head)
		if err != nil || head.Revision() == 0 {
			return // Too large for the store, or a head that is never written.
		}

		if back, err := DecodeHead(again); err != nil || !cmp.Equal(head.Revision(), back.Revision()) {
			t.Errorf("%s is decoded as %+v, %v", again, back, err)
		}

		_, _ = (&Config{}).Replay(head.Changes)
	})
}

func FuzzSnapshot(f *testing.F) {
	configs, _ := history(f, 3, "a")
	raw, _ := encode(snapshot{Format: format, Config: *configs[3]})
	f.Add(raw)
	f.Add([]byte(`{"format":1,"config":{"set":{"targets":[{}]}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := DecodeSnapshot(raw); err != nil && !errors.Is(err, ErrUnreadable) {
			t.Errorf("got %v, want ErrUnreadable", err)
		}
	})
}

func FuzzPeerReply(f *testing.F) {
	configs, changes := history(f, 3, "a")
	full, _ := encode(configs[3])
	packed, _ := pack(changes, 2)
	f.Add(full, packed[0], packed[1])
	f.Add([]byte("{}"), []byte("{}"), []byte(""))
	f.Fuzz(func(t *testing.T, full, first, second []byte) {
		if _, err := unpackFull(full); err != nil && !errors.Is(err, ErrUnreadable) {
			t.Errorf("full configuration: got %v, want ErrUnreadable", err)
		}

		list, err := unpack([][]byte{first, second})
		if err != nil && !errors.Is(err, ErrUnreadable) {
			t.Errorf("changes: got %v, want ErrUnreadable", err)
		}

		if err == nil {
			_, _ = configs[1].Replay(list)
		}
	})
}

// TestHolderNeverDecreases verifies that neither a full configuration nor changes can
// lower the revision of a Holder.
func TestHolderNeverDecreases(t *testing.T) {
	configs, changes := history(t, 4, "a")
	h := NewHolder()

	for _, step := range []struct{ adopt, want int }{{2, 2}, {1, 2}, {2, 2}, {3, 3}, {0, 3}} {
		h.Adopt(configs[step.adopt])

		if got := h.Revision(); got != carobward.Revision(step.want) {
			t.Errorf("revision %d after adopting revision %d, want %d", got, step.adopt, step.want)
		}
	}

	if advanced, err := h.Advance(changes[:2]); advanced || err != nil || h.Revision() != 3 {
		t.Errorf("older changes: advanced %t, error %v, revision %d; want an unchanged revision 3", advanced, err, h.Revision())
	}
}
