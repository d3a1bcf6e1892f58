package cwfee

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// tries bounds how often a caller sends a request.
const tries = 6

// patience bounds how long a caller waits for one answer.
const patience = time.Minute

// Sender charges one fee and returns what its caller believes.
type Sender func(f *Fleet, rng *rand.Rand, body string) carobward.Verdict

// Naive sends again after any error, without tickets.
func Naive(f *Fleet, rng *rand.Rand, body string) carobward.Verdict {
	for range tries {
		c := &carobward.Call{Method: fasthttp.MethodPost, URI: feeURI, Body: []byte(body)}
		if _, err := f.At(rng.IntN(f.Size())).Exchange(c); err == nil {
			return carobward.Ran
		}
	}

	return carobward.Unknown
}

// Ticketed sends again with the ticket that the last reply named.
func Ticketed(f *Fleet, rng *rand.Rand, body string) carobward.Verdict {
	ticket := f.At(rng.IntN(f.Size())).Owner.Prefix() + ".1"
	last := carobward.Unknown

	for range tries {
		_, next, err := f.Send(rng.IntN(f.Size()), body, ticket, patience)
		if err == nil {
			return carobward.Ran
		}

		last, ticket = carobward.VerdictOf(err), next
	}

	return last
}

// Count is what became of a number of fees.
type Count struct {
	// Told counts the verdicts that callers were left with.
	Told map[carobward.Verdict]int
	// Runs counts all runs, Twice the fees that ran more than once, and Wrong
	// the verdicts that do not agree with the runs.
	Runs, Twice, Wrong int
}

// The fleet of a comparison: one request in faultOneIn to a server has a
// drawn fault, or none.
const (
	compareVMs = 3
	faultOneIn = 4
)

// Compare charges fees one after the other through servers that shed and lose
// requests and replies. The faults follow from the seed, the fee and the
// number of its attempts, so that they are the same for each sender.
func Compare(seed uint64, fees int, send Sender) (Count, error) {
	f, err := New(compareVMs, Quick())
	if err != nil {
		return Count{}, err
	}

	f.Request = func(body string, attempt int) Fault {
		r := rand.New(rand.NewPCG(seed, uint64(len(body)*attempt)+hash(body)))
		if r.IntN(faultOneIn) > 0 {
			return Fine
		}

		return Fault(r.IntN(int(faults)))
	}

	rng := rand.New(rand.NewPCG(seed, seed))
	c := Count{Told: map[carobward.Verdict]int{}}

	for n := range fees {
		body := fmt.Sprintf("fee %d", n)
		c.add(send(f, rng, body), f.Runs(body))
	}

	return c, f.Stop()
}

// add counts one fee.
func (c *Count) add(v carobward.Verdict, runs int) {
	c.Told[v]++
	c.Runs += runs

	if runs > 1 {
		c.Twice++
	}

	if (v == carobward.NotRun && runs > 0) || (v == carobward.Ran && runs != 1) {
		c.Wrong++
	}
}

// Add adds another count to this one.
func (c *Count) Add(o *Count) {
	if c.Told == nil {
		c.Told = map[carobward.Verdict]int{}
	}

	for v, n := range o.Told {
		c.Told[v] += n
	}

	c.Runs += o.Runs
	c.Twice += o.Twice
	c.Wrong += o.Wrong
}

func hash(text string) uint64 {
	const start, factor = 17, 31

	h := uint64(start)
	for _, r := range text {
		h = h*factor + uint64(r)
	}

	return h
}
