package cwreserve

import (
	"math"
	"time"

	"carobward.example/carobward"
)

const (
	// beyondTime is how long a bucket grants tokens by class after it refused a request.
	beyondTime = time.Second
	// reserveTime is the period whose expected requests a bucket reserves tokens for. It is
	// long enough for requests that another owner refused to arrive as well. deviations is
	// the number of standard deviations above the mean that the reserve covers, since
	// requests arrive at random.
	reserveTime = 100 * time.Millisecond
	deviations  = 2
	// maxReserve is the maximum fraction of a bucket's capacity, less the token that is being
	// granted, that is reserved from requests whose answer can be in time. Below 1, so that
	// they need not wait for a full bucket.
	maxReserve = 0.9
	// MinShare is the minimum share of a bucket's tokens for each class whose answers can be
	// in time, if it requests as many, so that no class is starved by the others.
	MinShare = 0.1
	// tokenError is the tolerance, in tokens, for rounding errors of the level.
	tokenError = 1e-9
	// maxWait is the longest wait that is predicted. Demand further ahead is not known.
	maxWait = time.Second
	// minFree is the minimum fraction of a bucket's rate that a class and the more urgent
	// ones leave unused. Below it no token is predicted.
	minFree = 0.02
)

// NoToken is the wait of a refused request if no token is expected for its class.
const NoToken time.Duration = math.MaxInt64

// Ask is a request for tokens.
type Ask struct {
	Class Class
	// Want is how many tokens are requested: one for the request, the rest in advance.
	Want int
	// Again is set if another owner in the failure domain had no token for the same
	// request. That owner has counted its demand already.
	Again bool
	// Relayed is set if the request comes from another failure domain, whose owners
	// determine the caller's retry delay.
	Relayed bool
}

// Bucket is a token bucket that grants tokens by class while it can't grant all that are
// requested. It is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens a second, burst is the capacity in tokens. level is the number of
	// tokens at the time at.
	rate, burst, level float64
	at                 time.Time
	// beyondUntil is until when the bucket grants tokens by class.
	beyondUntil time.Time
	demand      [Classes]demand
	// floor has, by class, the accrued tokens of its minimum share, which it may take
	// although they are reserved.
	floor [Classes]float64
	// promised is, by class, the time of the latest token predicted for a refused request.
	promised [Classes]time.Time
}

// NewBucket returns a bucket with a rate in tokens a second, a capacity and the tokens that
// it holds.
func NewBucket(rate, burst, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(level, burst), at: now}
}

// Adjust changes the rate and the capacity. The bucket keeps its tokens.
func (b *Bucket) Adjust(rate, burst float64, now time.Time) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Beyond reports whether the bucket recently had to refuse a request, and so grants tokens by
// class.
func (b *Bucket) Beyond(now time.Time) bool { return now.Before(b.beyondUntil) }

// Take takes tokens and returns their number. If that is 0 it also returns the time until a
// token for the class is expected, or NoToken. While the bucket grants tokens by class it
// grants one at a time: tokens taken in advance would be used in order of arrival.
func (b *Bucket) Take(a *Ask, now time.Time) (int, time.Duration) {
	b.advance(now)

	if !a.Again {
		b.demand[a.Class].add(1, now)
	}

	n := b.granted(a, now)
	if n == 0 {
		b.beyondUntil = now.Add(beyondTime)

		return 0, b.wait(a, now)
	}

	b.level -= float64(n)
	b.floor[a.Class] = max(0, b.floor[a.Class]-1)

	return n, 0
}

// granted returns how many tokens a request gets.
func (b *Bucket) granted(a *Ask, now time.Time) int {
	switch available := b.level + tokenError; {
	case available < 1:
		return 0
	case !b.Beyond(now):
		return max(1, min(a.Want, int(available)))
	case b.floor[a.Class] >= 1, available >= 1+max(b.Reserve(a.Class, now), b.owed(a.Class, now)):
		return 1
	default:
		return 0
	}
}

// Reserve returns how many tokens are reserved from a class for the more urgent ones. All late
// classes are treated alike.
func (b *Bucket) Reserve(c Class, now time.Time) float64 {
	var before, all, last float64

	for i := range b.demand[:carobward.LoadRanks] {
		d := &b.demand[i]
		if !d.asks(now) {
			continue
		}

		last = d.expected(now)
		all += last

		if Class(i) < c {
			before += last
		}
	}

	if c.Late() {
		return min(all, b.burst-1)
	}

	// Nothing is reserved for the least urgent active class that is not late.
	all = max(all-last, before)
	if most := maxReserve * (b.burst - 1); all > most {
		before *= most / all
	}

	return before
}

// owed returns how many tokens are reserved from a class for the less urgent ones that have
// not had their minimum share.
func (b *Bucket) owed(c Class, now time.Time) float64 {
	n := 0.

	for i := int(c) + 1; i < carobward.LoadRanks; i++ {
		if b.floor[i] >= 1 && b.demand[i].asks(now) {
			n++
		}
	}

	return min(n, maxReserve*(b.burst-1))
}

// advance adds the tokens of the time since the last call.
func (b *Bucket) advance(now time.Time) {
	past := now.Sub(b.at).Seconds()
	if past <= 0 {
		return
	}

	b.at = now
	b.level = min(b.burst, b.level+past*b.rate)

	for i := range b.floor {
		if !Class(i).Late() {
			b.floor[i] = min(1, b.floor[i]+past*b.rate*MinShare)
		}
	}
}

// wait returns the time until a token for a refused request is expected, after those
// predicted for earlier refused requests of its class. Tokens that new requests of its class
// or of more urgent ones will take are not free.
func (b *Bucket) wait(a *Ask, now time.Time) time.Duration {
	free := b.rate - b.demandUpTo(a.Class, now)
	// The interval is compared in seconds: that of a low rate overflows a Duration.
	if free < minFree*b.rate || 1/free > maxWait.Seconds() {
		return NoToken
	}

	next := now
	if b.promised[a.Class].After(now) {
		next = b.promised[a.Class]
	}

	next = next.Add(time.Duration(float64(time.Second) / free))
	if next.Sub(now) > maxWait {
		return NoToken
	}

	if !a.Again && !a.Relayed {
		b.promised[a.Class] = next
	}

	return next.Sub(now)
}

// demandUpTo returns the rate of requests of a class and the more urgent ones, less one
// standard deviation: a few requests are weak evidence of demand.
func (b *Bucket) demandUpTo(c Class, now time.Time) float64 {
	var n float64
	for i := range c + 1 {
		n += b.demand[i].recent(now)
	}

	return max(0, n-math.Sqrt(n)) / demandTime.Seconds()
}
