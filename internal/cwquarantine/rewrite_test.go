package cwquarantine

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

// TestRewriteLost checks that changes which the store acknowledged before it was restored from a
// backup are written again if they had not arrived in the replica of this entry VM: no other entry
// VM knows them.
func TestRewriteLost(t *testing.T) {
	c := crashSpec{"a", "1", 0}.crash()
	trial := Trial{Fingerprint: fingerprintOf("a"), Number: 1}

	share := func(t *testing.T, k *Keeper, s *fakeFeed) {
		t.Helper()

		k.RecordCrash(c)
		k.Share(c)

		go s.release()
		k.write(context.Background())
	}

	for name, test := range map[string]struct {
		before func(t *testing.T, k *Keeper, s *fakeFeed)
		era    carobward.StoreEra
		want   map[carobward.Key]bool
	}{
		"a crash": {share, 2, map[carobward.Key]bool{c.key(): true}},
		"a crash that the replica has": {func(t *testing.T, k *Keeper, s *fakeFeed) {
			t.Helper()
			share(t, k, s)

			raw, err := c.encode()
			if err != nil {
				t.Fatal(err)
			}

			k.HandleChanges([]carobward.Item{{Key: c.key(), Value: raw}})
		}, 2, map[carobward.Key]bool{}},
		"a crash, no restore": {share, 1, map[carobward.Key]bool{}},
		"an answer": {func(t *testing.T, k *Keeper, s *fakeFeed) {
			t.Helper()
			share(t, k, s)
			k.Answered(c.Fingerprint)

			go s.release()
			k.write(context.Background())
		}, 2, map[carobward.Key]bool{c.key(): false}},
		"a trial": {func(t *testing.T, k *Keeper, s *fakeFeed) {
			t.Helper()

			go s.release()

			if !k.ClaimTrial(trial) {
				t.Error("the trial was not granted")
			}
		}, 2, map[carobward.Key]bool{trial.key(): true}},
		"a quarantine that is lifted": {func(t *testing.T, k *Keeper, s *fakeFeed) {
			t.Helper()
			k.RecordCrash(c)

			go s.release()

			if err := k.Lift(c.Fingerprint); err != nil {
				t.Error(err)
			}
		}, 2, map[carobward.Key]bool{c.key(): false}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeFeed()
			k := newKeeper(s, 0)
			k.rewriteLost(1)
			test.before(t, k, s)
			k.rewriteLost(test.era)

			got := map[carobward.Key]bool{}
			for key, value := range k.pending {
				got[key] = value != nil
			}

			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
