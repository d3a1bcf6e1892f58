package cwonce

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// maxAttempts bounds how often a caller sends one request.
const maxAttempts = 6

// replyTimeout is how long a caller waits for one reply.
const replyTimeout = time.Minute

// Sender charges one fee and returns the caller's final verdict.
type Sender func(f *Fleet, rng *rand.Rand, body string) carobward.Verdict

// Naive retries after any error, without tickets.
func Naive(f *Fleet, rng *rand.Rand, body string) carobward.Verdict {
	for range maxAttempts {
		c := &carobward.Call{Method: fasthttp.MethodPost, URI: feeURI, Body: carobward.BodyOf([]byte(body))}
		if _, err := f.At(rng.IntN(f.Size())).Exchange(c); err == nil {
			return carobward.Ran
		}
	}

	return carobward.Unknown
}

// Ticketed retries with the ticket that the last reply named.
func Ticketed(f *Fleet, rng *rand.Rand, body string) carobward.Verdict {
	ticket := f.At(rng.IntN(f.Size())).Owner.Prefix() + ".1"
	last := carobward.Unknown

	for range maxAttempts {
		_, next, err := f.Send(rng.IntN(f.Size()), body, ticket, replyTimeout)
		if err == nil {
			return carobward.Ran
		}

		last, ticket = carobward.VerdictOf(err), next
	}

	return last
}

// Count sums up the outcomes of a number of fees.
type Count struct {
	// Verdicts counts the callers' final verdicts.
	Verdicts map[carobward.Verdict]int
	// Runs counts all runs, Twice the fees that ran more than once, and Wrong
	// the verdicts that contradict the number of runs.
	Runs, Twice, Wrong int
}

// The fleet of a comparison: one of faultOneIn requests to a server draws a
// fault, which may be NoFault.
const (
	compareVMs = 3
	faultOneIn = 4
)

// Compare charges fees one after the other through servers that shed requests
// and lose requests and replies. A fault depends only on the seed, the fee and
// the number of the attempt, so that each sender meets the same faults.
func Compare(seed uint64, fees int, send Sender) (Count, error) {
	f, err := New(compareVMs, FastOptions())
	if err != nil {
		return Count{}, err
	}

	f.Request = func(body string, attempt int) Fault {
		r := rand.New(rand.NewPCG(seed, uint64(len(body)*attempt)+hash(body)))
		if r.IntN(faultOneIn) > 0 {
			return NoFault
		}

		return Fault(r.IntN(int(faultCount)))
	}

	rng := rand.New(rand.NewPCG(seed, seed))
	c := Count{Verdicts: map[carobward.Verdict]int{}}

	for n := range fees {
		body := fmt.Sprintf("fee %d", n)
		c.add(send(f, rng, body), f.Runs(body))
	}

	return c, f.Stop()
}

// add counts one fee, which ended with a verdict after a number of runs.
func (c *Count) add(v carobward.Verdict, runs int) {
	c.Verdicts[v]++
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
	if c.Verdicts == nil {
		c.Verdicts = map[carobward.Verdict]int{}
	}

	for v, n := range o.Verdicts {
		c.Verdicts[v] += n
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
