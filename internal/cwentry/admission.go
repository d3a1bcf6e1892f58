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

// The times after which a caller should retry if there is no better estimate.
const (
	// noServersRetry is for a service without servers: the VM list is read again
	// after about this time.
	noServersRetry = time.Second
	// overShareRetry is for a target whose share of the requests in flight is
	// used up.
	overShareRetry = 100 * time.Millisecond
)

// admission is a request that was admitted by the gate of its service, the queue
// for a server with room, with the servers chosen for it.
type admission struct {
	forwarder *Forwarder
	target    *carobward.Target
	gate      *cwlimit.Gate
	entered   time.Time
	rng       *rand.Rand

	tried []*cwserver.Server
	// server gets the next attempt. serverCall is that attempt, already
	// registered at the server.
	server     *cwserver.Server
	serverCall cwserver.Call
}

// enter waits for a server, or fails at once if the deadline can't be met. The
// caller must call leave on the admission and End on each serverCall.
func (fw *Forwarder) enter(target *carobward.Target, call *carobward.Call) (*admission, error) {
	if !fw.shares.Enter(target.Name) {
		fw.metrics.Add("shed", 1)

		return nil, fw.shedFailure(ErrBusy, overShareRetry)
	}

	a := &admission{
		forwarder: fw,
		target:    target,
		gate:      fw.gates.Get(target.Service),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}

	if err := a.wait(call.Deadline); err != nil {
		fw.shares.Leave(target.Name)

		return nil, err
	}

	a.entered = fw.clock.Now()

	return a, nil
}

func (a *admission) wait(deadline time.Time) error {
	if !cwroute.AnyEligible(a.servers(), nil) {
		return a.forwarder.shedFailure(ErrNoServer, noServersRetry)
	}

	w := &cwlimit.Waiter{Target: a.target.Name, Deadline: deadline}

	err := a.gate.Enter(w, a.next)

	var shed *cwlimit.Shed
	if errors.As(err, &shed) {
		a.forwarder.metrics.Add("shed", 1)

		return a.forwarder.shedFailure(err, shed.RetryAfter)
	}

	return err
}

// leave gives the place at the gate to the next waiting request.
func (a *admission) leave() {
	a.gate.Leave(a.target.Name, a.forwarder.clock.Now().Sub(a.entered))
	a.forwarder.shares.Leave(a.target.Name)
}

func (a *admission) servers() []*cwserver.Server { return a.forwarder.servers.Of(a.target.Service) }

// next chooses a server to which the request was not sent yet, and registers the
// call there. It returns false if none has room.
func (a *admission) next() bool {
	now := a.forwarder.clock.Now()

	s := a.forwarder.options.Policy.Choose(now, a.servers(), a.tried, a.rng)
	if s == nil {
		return false
	}

	a.tried = append(a.tried, s)
	a.server = s
	a.serverCall = s.Begin(now)

	return true
}

// shedFailure returns the failure of a request that was never sent.
func (fw *Forwarder) shedFailure(cause error, after time.Duration) *carobward.Failure {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, jitter(after), cause)
}

// recoveryDelay returns the time after which a target's servers are expected to
// accept requests again, with jitter.
func (fw *Forwarder) recoveryDelay(target *carobward.Target) time.Duration {
	servers := fw.servers.Of(target.Service)

	return jitter(max(cwlimit.MinRetry, cwroute.RecoveryTime(fw.clock.Now(), servers, defaultRetry)))
}

// jitter lengthens a delay by a random amount of up to a half, so that callers
// that were refused at the same time don't retry at the same time.
func jitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Int64N(int64(after)/2+1))
}

// Counts returns the number of requests of each target since the previous call
// of Counts.
func (fw *Forwarder) Counts() map[carobward.TargetName]int { return fw.shares.Counts() }

// Tick cancels repeatable requests whose caller has disconnected. Requests that
// must run at most once continue, so that a retry gets their outcome. Tick also
// deletes the retry records of targets that are no longer configured and the
// gates of idle services; a request that already holds a deleted gate may still
// enter it.
func (fw *Forwarder) Tick() {
	fw.callers.Tick()

	targets := fw.holder.Targets()
	fw.records.Retain(func(name carobward.TargetName, _ *cwretry.TargetState) bool { return targets.ByName(name) != nil })
	fw.gates.Retain(func(_ carobward.Service, g *cwlimit.Gate) bool { return !g.Idle() })
}
