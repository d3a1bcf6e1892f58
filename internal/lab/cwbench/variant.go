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

// Variant is one way for the entry VMs to carry calls.
type Variant struct {
	// Name stands in the table.
	Name string
	// Policy makes the policy of one entry VM.
	Policy func(w *World) cwroute.Policy
	// Carriers is how many entry VMs carry the target; 0: all of them.
	Carriers int
	// Tries is how often a call that failed is sent at most.
	Tries int
	// RetryAny retries whatever happened, run-once work and timeouts too.
	RetryAny bool
	// Attempt is the timeout of one attempt; zero: that of the request.
	Attempt time.Duration
	// Cancel closes the connection of a call that nobody waits for.
	Cancel bool
	// Hedge sends a call that is out for long to a second server.
	Hedge bool
	// Budget bounds retries and hedges to a share of all calls.
	Budget bool
	// Queue lets calls wait at the entry VM, and sheds those that would wait
	// for too long.
	Queue bool
}

// World is what a policy may see that a real entry VM could not.
type World struct {
	// Domain is the entry VM's failure domain.
	Domain carobward.Domain

	// expect is the time that one more call would take on a server now, in
	// any unit.
	expect func(server int) float64
}

// The variants that others are compared with.
const (
	nameNaive = "naive-round-robin"
	nameTruth = "truth"
)

// Baselines returns the variants that stay in the tool to compare with.
func Baselines() []Variant {
	return []Variant{
		{Name: nameNaive, Policy: func(*World) cwroute.Policy { return &roundRobin{} }, Tries: naiveTries},
		{Name: "random", Policy: func(*World) cwroute.Policy { return randomPolicy{} }, Tries: naiveTries},
		{Name: "pair", Policy: func(*World) cwroute.Policy { return cwroute.TwoChoices{} }, Tries: naiveTries, Cancel: true},
		{Name: nameTruth, Policy: func(w *World) cwroute.Policy { return &truth{world: w} }, Tries: naiveTries, Cancel: true},
	}
}

// Storms returns the naive variants for overload: each sends a call again
// after any error and after a timeout of its own, with no limits, and lets
// servers work on for nobody.
func Storms() []Variant {
	v := Baselines()[0]
	v.Name = "naive-retry"
	v.RetryAny = true
	v.Attempt = naiveTimeout

	return []Variant{v, Baselines()[0]}
}

// Products returns the variants that the product may use, each with one part
// more than the one before it.
func Products() []Variant {
	wait := waits("wait", cwroute.LeastTime{CrossDomainTime: productFar})

	hedged := wait
	hedged.Name = "wait-hedge"
	hedged.Hedge, hedged.Budget = true, true

	queued := waits("product", cwroute.LeastTime{CrossDomainTime: productFar, MaxPerSlot: productQueue})
	queued.Hedge, queued.Budget, queued.Queue = true, true, true

	return []Variant{wait, hedged, queued}
}

// Ablations returns the product's hedged choice with one part less or another
// one in each.
func Ablations() []Variant {
	list := []Variant{
		waits("all-parts", cwroute.LeastTime{CrossDomainTime: productFar}),
		waits("no-reports", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Reports}),
		waits("no-latencies", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Latencies}),
		waits("own-calls-only", cwroute.LeastTime{CrossDomainTime: productFar, Ignore: cwroute.Reports | cwroute.Latencies}),
		waits("no-domains", cwroute.LeastTime{}),
		waits("sample-2", cwroute.LeastTime{CrossDomainTime: productFar, Sample: 2}),
		waits("sample-5", cwroute.LeastTime{CrossDomainTime: productFar, Sample: 5}),
	}
	for i := range list {
		list[i].Hedge, list[i].Budget = true, true
	}

	unhedged := waits("no-hedges", cwroute.LeastTime{CrossDomainTime: productFar})

	return append(list, unhedged)
}

// waits returns a variant of the wait policy in the entry VM's domain.
func waits(name string, w cwroute.LeastTime) Variant {
	policy := func(world *World) cwroute.Policy {
		one := w
		one.Domain = world.Domain

		return one
	}

	return Variant{Name: name, Policy: policy, Tries: naiveTries, Cancel: true}
}

// productFar is what the product expects a call to another failure domain to
// take longer.
const productFar = 1500 * time.Microsecond

// naiveTimeout is a naive variant's timeout of one attempt.
const naiveTimeout = 150 * time.Millisecond

// naiveTries is how often a baseline sends a call at most.
const naiveTries = 3

// roundRobin takes the servers in turn, whatever is known of them.
type roundRobin struct{ next atomic.Uint64 }

// Choose implements cwroute.Policy.
func (r *roundRobin) Choose(_ time.Time, servers, _ []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	// Each entry VM starts somewhere else.
	r.next.CompareAndSwap(0, 1+rng.Uint64N(uint64(len(servers))))

	return servers[r.next.Add(1)%uint64(len(servers))]
}

// randomPolicy takes any server.
type randomPolicy struct{}

// Choose implements cwroute.Policy.
func (randomPolicy) Choose(_ time.Time, servers, _ []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	return servers[rng.IntN(len(servers))]
}

// truth sees the true state of all servers without delay, and the calls on
// their way to them: a bound for what any policy can reach without knowing
// the future.
type truth struct{ world *World }

// Choose implements cwroute.Policy.
func (t *truth) Choose(_ time.Time, servers, tried []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	var best *cwserver.Server

	least := math.Inf(1)
	ties := 0

	for i, s := range servers {
		if contains(tried, s) {
			continue
		}

		wait := t.world.expect(i)

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

// productQueue is how many calls a slot the product expects a server to hold
// at most, as internal/cwnode sets it.
const productQueue = 2
