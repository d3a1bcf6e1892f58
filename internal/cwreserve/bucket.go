package cwreserve

import (
	"math"
	"time"

	"carobward.example/carobward"
)

const (
	// beyondTime is how long a bucket that had to refuse a request goes by class.
	beyondTime = time.Second
	// reserveTime is the time for whose requests a bucket holds tokens back: in it, those
	// that were refused elsewhere arrive as well. deviations is how many standard
	// deviations above the mean are covered, as requests come at random.
	reserveTime = 100 * time.Millisecond
	deviations  = 2
	// maxReserve is the maximum fraction of a bucket, without the token that is handed out,
	// that is held back from requests in time: they need not wait until it is full.
	maxReserve = 0.9
	// MinShare is the share of a bucket's tokens that each class with answers in time gets
	// at least if it asks for it, so that none is shut out while others ask for everything.
	MinShare = 0.1
	// tokenError allows for rounding when a whole token is compared with the level.
	tokenError = 1e-9
	// maxWait is the longest wait that is predicted: demand beyond it is not known.
	maxWait = time.Second
	// minFree is the fraction of a bucket's rate that must be left by the classes that go
	// first for a token to be predicted.
	minFree = 0.02
)

// NoToken is the wait of a request for whose class no token is expected.
const NoToken time.Duration = math.MaxInt64

// Ask is a request for tokens.
type Ask struct {
	Class Class
	// Want is how many tokens are asked for, one for a request and the rest in advance.
	Want int
	// Again is set if another owner in the failure domain had no token for the same
	// request, whose demand is known therefore.
	Again bool
	// Relayed is set if the request comes from another failure domain. Its caller is told
	// when to retry by the owners there.
	Relayed bool
}

// Bucket is a token bucket that goes by class while it does not hold enough for all.
type Bucket struct {
	// rate is in tokens a second. Level is the number of tokens at the time of at.
	rate, burst, level float64
	at                 time.Time
	// beyondUntil is until when the bucket goes by class.
	beyondUntil time.Time
	demand      [Classes]demand
	// floor has, by class, the tokens that it may take in spite of the reserve.
	floor [Classes]float64
	// promised is the time of the last token that a refused request was told to come for.
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

// Beyond reports whether more was asked for lately than the bucket had.
func (b *Bucket) Beyond(now time.Time) bool { return now.Before(b.beyondUntil) }

// Take takes tokens. If there are none it returns 0 and when a token for the class is
// expected, or NoToken. While the bucket goes by class it grants one at a time: tokens taken
// in advance would go to whoever comes first.
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

// Reserve returns how many tokens are held back from a class for those that go first. All late
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

	// Nothing is held back for the class that goes last of those with answers in time.
	all = max(all-last, before)
	if most := maxReserve * (b.burst - 1); all > most {
		before *= most / all
	}

	return before
}

// owed returns how many tokens are held back from a class for those after it that have not had
// their minimum share.
func (b *Bucket) owed(c Class, now time.Time) float64 {
	n := 0.

	for i := int(c) + 1; i < carobward.LoadRanks; i++ {
		if b.floor[i] >= 1 && b.demand[i].asks(now) {
			n++
		}
	}

	return min(n, maxReserve*(b.burst-1))
}

// advance adds the tokens of the time that has passed.
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

// wait returns when a token for a refused request is expected, in the order in which such
// requests were told. Tokens that new requests of its own class will ask for are not free.
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

// demandUpTo returns the rate of requests of a class and those that go first, a standard
// deviation below the mean: a few requests do not tell much.
func (b *Bucket) demandUpTo(c Class, now time.Time) float64 {
	var n float64
	for i := range c + 1 {
		n += b.demand[i].recent(now)
	}

	return max(0, n-math.Sqrt(n)) / demandTime.Seconds()
}
