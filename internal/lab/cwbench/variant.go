package cwbench

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
)

// Variant is one way for entry VMs to forward calls.
type Variant struct {
	// Name identifies the variant in tables.
	Name string
	// Policy returns the policy of one entry VM.
	Policy func(e *Environment) cwroute.Policy
	// Carriers is the number of entry VMs that serve the target; 0 means all of them.
	Carriers int
	// Tries is the maximum number of sends of a call.
	Tries int
	// RetryAny retries after any failure, including timeouts and failures of run-once
	// calls.
	RetryAny bool
	// Attempt is the timeout of one attempt; zero means that of the request.
	Attempt time.Duration
	// Cancel closes the connection of an abandoned attempt, so that the server stops
	// its work.
	Cancel bool
	// Hedge sends a call that takes long to a second server.
	Hedge bool
	// Budget limits retries and hedges to a share of all calls.
	Budget bool
	// Queue lets calls wait at the entry VM and sheds those that would wait too long.
	Queue bool
}

// Environment gives a policy access to its failure domain and to the true state of
// the servers, which a real entry VM cannot see.
type Environment struct {
	// Domain is the failure domain of the entry VM.
	Domain carobward.Domain

	// expectedTime returns the time that one more call would take on a server now, in
	// any unit.
	expectedTime func(server int) float64
}

// Variants to which the table compares the others.
const (
	nameNaive = "naive-round-robin"
	nameTruth = "truth"
)

// Baselines returns the variants that serve as a reference.
func Baselines() []Variant {
	return []Variant{
		{Name: nameNaive, Policy: func(*Environment) cwroute.Policy { return &roundRobin{} }, Tries: naiveTries},
		{Name: "random", Policy: func(*Environment) cwroute.Policy { return randomPolicy{} }, Tries: naiveTries},
		{Name: "pair", Policy: func(*Environment) cwroute.Policy { return cwroute.TwoChoices{} }, Tries: naiveTries, Cancel: true},
		{Name: nameTruth, Policy: func(e *Environment) cwroute.Policy { return &truth{environment: e} }, Tries: naiveTries, Cancel: true},
	}
}

// RetryStorms returns the naive variants for overload. The first one retries after
// any error and after a timeout of its own, without a budget; neither cancels
// abandoned work at the servers.
func RetryStorms() []Variant {
	v := Baselines()[0]
	v.Name = "naive-retry"
	v.RetryAny = true
	v.Attempt = naiveTimeout

	return []Variant{v, Baselines()[0]}
}

// Products returns the variants of the product, each with one part more than the
// one before: server selection, hedges, queueing.
func Products() []Variant {
	wait := leastTimeVariant("wait", cwroute.LeastTime{CrossDomainTime: productFar})

	hedged := wait
	hedged.Name = "wait-hedge"
	hedged.Hedge, hedged.Budget = true, true

	queued := leastTimeVariant("product", cwroute.LeastTime{CrossDomainTime: productFar, MaxPerSlot: productQueue})
	queued.Hedge, queued.Budget, queued.Queue = true, true, true

	return []Variant{wait, hedged, queued}
}

// Ablations returns variants of the hedged product, each with one part removed or
// changed, and one without hedges.
func Ablations() []Variant {
	list := []Variant{
		leastTimeVariant("all-parts", cwroute.LeastTime{CrossDomainTime: productFar}),
		leastTimeVariant("no-reports", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Reports}),
		leastTimeVariant("no-latencies", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Latencies}),
		leastTimeVariant("own-calls-only", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Reports | cwroute.Latencies}),
		leastTimeVariant("no-domains", cwroute.LeastTime{}),
		leastTimeVariant("sample-2", cwroute.LeastTime{CrossDomainTime: productFar, Sample: 2}),
		leastTimeVariant("sample-5", cwroute.LeastTime{CrossDomainTime: productFar, Sample: 5}),
	}
	for i := range list {
		list[i].Hedge, list[i].Budget = true, true
	}

	unhedged := leastTimeVariant("no-hedges", cwroute.LeastTime{CrossDomainTime: productFar})

	return append(list, unhedged)
}

// leastTimeVariant returns a variant with the policy w in the failure domain of the
// entry VM.
func leastTimeVariant(name string, w cwroute.LeastTime) Variant {
	policy := func(e *Environment) cwroute.Policy {
		one := w
		one.Domain = e.Domain

		return one
	}

	return Variant{Name: name, Policy: policy, Tries: naiveTries, Cancel: true}
}

// productFar is the extra time that the product expects of a call to another
// failure domain.
const productFar = 1500 * time.Microsecond

// naiveTimeout is the timeout of one attempt of a naive variant.
const naiveTimeout = 150 * time.Millisecond

// naiveTries is the maximum number of sends of a call by a baseline.
const naiveTries = 3

// roundRobin takes the servers in turn, whatever their state.
type roundRobin struct{ next atomic.Uint64 }

// Choose implements cwroute.Policy.
func (r *roundRobin) Choose(_ time.Time, servers, _ []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	// Each entry VM starts at another server.
	r.next.CompareAndSwap(0, 1+rng.Uint64N(uint64(len(servers))))

	return servers[r.next.Add(1)%uint64(len(servers))]
}

// randomPolicy takes a random server.
type randomPolicy struct{}

// Choose implements cwroute.Policy.
func (randomPolicy) Choose(_ time.Time, servers, _ []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	return servers[rng.IntN(len(servers))]
}

// truth sees the true state of all servers without delay, including the calls on
// their way to them. It is an upper bound for policies that do not know the future.
type truth struct{ environment *Environment }

// Choose implements cwroute.Policy.
func (t *truth) Choose(_ time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	var best *cwserver.Server

	least := math.Inf(1)
	ties := 0

	for i, s := range servers {
		if contains(tried, s) {
			continue
		}

		wait := t.environment.expectedTime(i)

		switch {
		case wait < least:
			best, least, ties = s, wait, 1
		case wait == least:
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}

	return best
}

func contains(list []*cwserver.Server, s *cwserver.Server) bool {
	for _, t := range list {
		if t == s {
			return true
		}
	}

	return false
}

// productQueue is the maximum number of calls per slot that the product expects a
// server to hold, as internal/cwnode sets it.
const productQueue = 2
