package cwbench

import (
	"math"
	"math/rand/v2"
	"time"

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
	// Hedge is the share of calls that may be sent to a second server once
	// they have been out for longer than HedgeAt of all; zero: none.
	Hedge   float64
	HedgeAt float64
}

// World is what a policy may see that a real entry VM could not.
type World struct {
	timeline *timeline
	backends []*backend
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
		{Name: "pair", Policy: func(*World) cwroute.Policy { return cwroute.Pair{} }, Tries: naiveTries, Cancel: true},
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

// Products returns the variants that the product may use.
func Products() []Variant {
	wait := Variant{
		Name: "wait", Policy: func(*World) cwroute.Policy { return cwroute.Wait{} },
		Tries: naiveTries, Cancel: true,
	}

	hedged := wait
	hedged.Name = "wait-hedge"
	hedged.Hedge, hedged.HedgeAt = hedgeShare, hedgeAt

	limited := hedged
	limited.Name = "wait-hedge-limit"
	limited.Policy = func(*World) cwroute.Policy { return cwroute.Wait{Queue: queueRounds} }

	return []Variant{wait, hedged, limited}
}

// queueRounds is how many calls a slot a limited variant expects a server to
// hold.
const queueRounds = 3

// The hedging of the product's variants.
const (
	hedgeShare = 0.05
	hedgeAt    = 95
)

// naiveTimeout is a naive variant's timeout of one attempt.
const naiveTimeout = 150 * time.Millisecond

// naiveTries is how often a baseline sends a call at most.
const naiveTries = 3

// roundRobin takes the servers in turn, whatever is known of them.
type roundRobin struct{ next int }

// Choose implements cwroute.Policy.
func (r *roundRobin) Choose(_ time.Time, servers, _ []*cwserver.Server, rng *rand.Rand) *cwserver.Server {
	if len(servers) == 0 {
		return nil
	}

	if r.next == 0 {
		r.next = 1 + rng.IntN(len(servers))
	}

	r.next++

	return servers[r.next%len(servers)]
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

		wait := t.world.backends[i].expect(t.world.timeline.now)

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
