package cwentry

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlimit"
	"carobward.example/carobward/internal/cwretry"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
)

// The times to come back where nothing better is known.
const (
	// retryList is for a service without servers: the next look at the list.
	retryList = time.Second
	// retryShare is for a target that has its share of requests in flight.
	retryShare = 100 * time.Millisecond
)

// visit is a request that has passed the gate of its service. It holds the
// server of its latest attempt.
type visit struct {
	carrier *Carrier
	target  *carobward.Target
	gate    *cwlimit.Gate
	entered time.Time
	rng     *rand.Rand

	tried []*cwserver.Server
	// server gets the next attempt, which is noted there already.
	server *cwserver.Server
	noted  cwserver.Call
}

// enter waits for a server, or fails at once if the deadline can't be met.
// Each request that entered must leave, and each call noted must be ended.
func (c *Carrier) enter(target *carobward.Target, call *carobward.Call) (*visit, error) {
	if !c.shares.Enter(target.Name) {
		c.metrics.Add("shed", 1)

		return nil, c.shed(ErrBusy, retryShare)
	}

	v := &visit{
		carrier: c,
		target:  target,
		gate:    c.gates.Get(target.Service),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}

	if err := v.wait(call.Deadline); err != nil {
		c.shares.Leave(target.Name)

		return nil, err
	}

	v.entered = c.clock.Now()

	return v, nil
}

func (v *visit) wait(deadline time.Time) error {
	if !cwroute.Any(v.servers(), nil) {
		return v.carrier.shed(ErrServer, retryList)
	}

	w := &cwlimit.Waiter{Target: v.target.Name, Deadline: deadline}

	err := v.gate.Enter(w, v.next)

	var full *cwlimit.Shed
	if errors.As(err, &full) {
		v.carrier.metrics.Add("shed", 1)

		return v.carrier.shed(err, full.After)
	}

	return err
}

// leave gives the place behind the gate to the next.
func (v *visit) leave() {
	v.gate.Leave(v.target.Name, v.carrier.clock.Now().Sub(v.entered))
	v.carrier.shares.Leave(v.target.Name)
}

func (v *visit) servers() []*cwserver.Server { return v.carrier.servers.Of(v.target.Service) }

// next chooses a server that has not had the request, and notes the call
// there. It returns false if none has room.
func (v *visit) next() bool {
	now := v.carrier.clock.Now()

	s := v.carrier.options.Policy.Choose(now, v.servers(), v.tried, v.rng)
	if s == nil {
		return false
	}

	v.tried = append(v.tried, s)
	v.server = s
	v.noted = s.Begin(now)

	return true
}

// shed is the failure of a request that was never sent.
func (c *Carrier) shed(cause error, after time.Duration) *carobward.Failure {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, scatter(after), cause)
}

// recovery is when a target's servers are expected to answer again.
func (c *Carrier) recovery(target *carobward.Target) time.Duration {
	servers := c.servers.Of(target.Service)

	return scatter(max(cwlimit.RetryLeast, cwroute.Recovery(c.clock.Now(), servers, retryAfter)))
}

// scatter lengthens a time by up to a half at random, so that callers who
// were refused together don't come back together.
func scatter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Int64N(int64(after)/2+1))
}

// Counts returns the requests of each target since it was last called.
func (c *Carrier) Counts() map[carobward.TargetName]int { return c.shares.Counts() }

// Tick cancels idempotent work whose caller has gone; work that must not
// repeat goes on, so that its outcome is known to a retry. It also drops what
// is kept for targets that are gone and for idle services. A request that
// holds a dropped gate may still enter it.
func (c *Carrier) Tick() {
	c.waiting.Tick()

	targets := c.holder.Targets()
	c.records.Retain(func(name carobward.TargetName, _ *cwretry.TargetState) bool { return targets.ByName(name) != nil })
	c.gates.Retain(func(_ carobward.Service, g *cwlimit.Gate) bool { return !g.Idle() })
}
