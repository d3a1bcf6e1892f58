package cwowner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobward.example/carobward"
)

// tries bounds how often the callers of this file send a request.
const tries = 6

// naive tries again after any error, without tickets.
func naive(f *fleet, rng *rand.Rand, body string) carobward.Verdict {
	for range tries {
		c := &carobward.Call{Method: "POST", URI: "/fees", Body: []byte(body)}
		if _, err := f.at(rng.IntN(len(f.vms))).exchange(c); err == nil {
			return carobward.Ran
		}
	}

	return carobward.Unknown
}

// ticketed tries again with the ticket that the last reply named.
func ticketed(f *fleet, rng *rand.Rand, body string) carobward.Verdict {
	ticket := f.at(rng.IntN(len(f.vms))).owner.Prefix() + ".1"
	last := carobward.Unknown

	for range tries {
		_, next, err := f.send(rng.IntN(len(f.vms)), body, ticket, time.Minute)
		if err == nil {
			return carobward.Ran
		}

		last, ticket = carobward.VerdictOf(err), next
	}

	return last
}

// TestAgainstNaive runs the same faults of servers against callers that try
// again after any error, and against ours: the naive ones are charged twice.
func TestAgainstNaive(t *testing.T) {
	const works = 2000

	count := func(seed uint64, send func(*fleet, *rand.Rand, string) carobward.Verdict) (twice, liar, unknown int) {
		f := newFleet(t, 3)
		defer f.stop()

		f.request = func(body string, attempt int) fault {
			r := rand.New(rand.NewPCG(seed, uint64(len(body)*attempt)+hash(body)))
			if r.IntN(4) > 0 {
				return fine
			}

			return fault(r.IntN(int(faults)))
		}

		rng := rand.New(rand.NewPCG(seed, seed))

		for n := range works {
			body := fmt.Sprintf("fee %d", n)
			v := send(f, rng, body)

			if f.runs[body] > 1 {
				twice++
			}

			if (v == carobward.NotRun && f.runs[body] > 0) || (v == carobward.Ran && f.runs[body] != 1) {
				liar++
			}

			if v == carobward.Unknown {
				unknown++
			}
		}

		return twice, liar, unknown
	}

	for seed := range uint64(3) {
		twice, _, _ := count(seed, naive)
		t.Logf("seed %d: naive: %d of %d ran twice", seed, twice, works)

		if twice == 0 {
			t.Errorf("seed %d: the naive callers were not charged twice, so the faults prove nothing", seed)
		}

		twice, liar, unknown := count(seed, ticketed)
		t.Logf("seed %d: tickets: %d ran twice, %d wrong verdicts, %d unknown", seed, twice, liar, unknown)

		if twice > 0 || liar > 0 {
			t.Errorf("seed %d: %d ran twice, %d wrong verdicts", seed, twice, liar)
		}
	}
}

func hash(text string) uint64 {
	h := uint64(17)
	for _, r := range text {
		h = h*31 + uint64(r)
	}

	return h
}
