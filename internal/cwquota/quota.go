// Package cwquota enforces the quotas of teams over all entry VMs without a central
// counter. A quota is divided among the failure domains in proportion to their entry VMs.
// In each failure domain a few entry VMs, the first ones by rendezvous hashing of the team,
// own token buckets. The other entry VMs request tokens from an owner before they send, and
// if those have none, from other failure domains. So the sum of the buckets is the limit,
// wherever requests arrive, and whichever entry VMs are partitioned or restart. While a team
// requests more than its quota, the owners grant tokens by class (package cwreserve).
package cwquota

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
	"carobward.example/carobward/internal/cwreserve"
)

// Parameters of the division of a quota.
const (
	// maxOwners is how many entry VMs of a failure domain own buckets of a team. With two,
	// a good part of the quota stays available while the loss of one of them has not been
	// detected yet.
	maxOwners = 2
	// minBurst is the minimum capacity of a bucket if a team has several in a failure
	// domain: requests arrive at random, and two at the same time are not unusual.
	minBurst = 2
	// burstFraction is the fraction of a team's burst that is divided among the buckets. The
	// rest covers tokens that were handed out but not used yet, and buckets that move to
	// another owner.
	burstFraction = 0.9
	// slackRateFraction and slackBurstFraction are the fractions of the allowed slack that
	// are added to the fill rates and the capacities of the buckets: those of small teams
	// would hold less than one token otherwise.
	slackRateFraction  = 0.3
	slackBurstFraction = 0.6
	// overshootFraction is the fraction of the allowed overshoot that is added to the
	// capacities of the buckets. The rest covers tokens that were handed out but not used
	// yet.
	overshootFraction = 0.5
	// minKnownFraction is the fraction of the entry VMs of its failure domain that an owner
	// must know to be alive. An entry VM that is cut off would consider itself the owner of
	// all buckets.
	minKnownFraction = 0.75
	// prefetchTime is how long tokens that were requested in advance may be used, and the
	// period for which they are requested.
	prefetchTime = 200 * time.Millisecond
	// askTimeout is the timeout of a token request.
	askTimeout = 100 * time.Millisecond
	// domainTimeout is the timeout of a token request to another failure domain.
	// silentBackoff is how long a failure domain that did not answer is skipped.
	domainTimeout = 50 * time.Millisecond
	silentBackoff = time.Second
	// maxEmptyBackoff is the maximum time for which a failure domain that had no token is
	// skipped: tokens arrive one by one, and other entry VMs do not know that it had none.
	maxEmptyBackoff = 200 * time.Millisecond
	// unknownRetryDelay is the retry delay for a caller that is refused because no owner
	// answered.
	unknownRetryDelay = 300 * time.Millisecond
	// minRetryDelay is the minimum retry delay for a request beyond the quota.
	minRetryDelay = 100 * time.Millisecond
	// retryTime is the time that a retry takes to arrive, in addition to the retry delay.
	retryTime = 25 * time.Millisecond
	// maxUnknownDelay is the retry delay if no token is expected and the caller has not said
	// how long it waits.
	maxUnknownDelay = time.Second
	// maxReturnAge is the maximum age since its grant at which a returned token may be used.
	// Most requests that get no server are refused within that time. Older tokens may belong
	// to a past window of the quota.
	maxReturnAge = 500 * time.Millisecond
	// beyondTime is how long no tokens are requested in advance after an owner reported that
	// the team is beyond its quota.
	beyondTime = time.Second
)

// The errors of a request that got no token.
const (
	// ErrOverQuota: the team has exceeded its quota.
	ErrOverQuota = errors.ConstError("the team is beyond its quota")
	// ErrUnknown: no owner of the team's tokens answered.
	ErrUnknown = errors.ConstError("it can't be told whether the team is within its quota")
)

// Bounds limit by how much quotas may be exceeded: in each Window by the fraction Overshoot
// of what a quota allows in it, plus Slack requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Fleet describes the entry VMs among which quotas are divided, as far as this one knows.
type Fleet struct {
	// Peers are the other live entry VMs of the failure domain that are not stopping.
	Peers []carobward.VMID
	// DomainSize is how many entry VMs the failure domain had lately, including this one.
	DomainSize int
	// DomainShare is the fraction of all entry VMs that are in the failure domain.
	DomainShare float64
	// Domains are the other failure domains.
	Domains []carobward.Domain
	// Settled is set if this entry VM has run long enough to know the others.
	Settled bool
}

// Grant is the reply to a token request.
type Grant struct {
	// Owner is set if the sender owns a bucket of the team.
	Owner bool
	// Tokens is how many tokens it grants. If that is none, Wait is the time until one is
	// expected, or cwreserve.NoToken.
	Tokens int
	Wait   time.Duration
	// Beyond is set if the bucket recently had to refuse a request of the team. Tokens should
	// not be requested in advance then.
	Beyond bool
}

// Options are the dependencies of a Limiter.
type Options struct {
	Self  carobward.VMID
	Clock carobward.Clock
	Log   logr.Logger
	Fleet func(now time.Time) Fleet
	// Ask requests tokens of a team from another entry VM.
	Ask func(ctx context.Context, to carobward.VMID, team carobward.TeamName, a *cwreserve.Ask) (Grant, error)
	// AskDomain has an entry VM of another failure domain call GrantInDomain.
	AskDomain func(ctx context.Context, in carobward.Domain, team carobward.TeamName, a *cwreserve.Ask) (Grant, error)
}

// Limiter enforces the quotas of all teams. It is safe for concurrent use.
type Limiter struct {
	Options

	mutex  sync.Mutex
	bounds Bounds
	teams  map[carobward.TeamName]*team
	// answered counts this entry VM's answers as an owner, returned the unused tokens that
	// its own requests gave back, expired those that it requested in advance and did not
	// use in time, or that more requested in advance replaced.
	answered counts
	returned int64
	expired  int64
}

// team is the state of a team. It is guarded by the Limiter's mutex.
type team struct {
	hash  uint64
	quota carobward.Quota
	// bucket is this entry VM's bucket if it is an owner.
	bucket *cwreserve.Bucket
	// answered counts this entry VM's answers as an owner since the last Tick.
	answered counts
	stock    stock
	// backoff has, by class, until when other failure domains are skipped.
	backoff map[carobward.Domain]*classTimes
}

// classTimes has a time for each class.
type classTimes [cwreserve.Classes]time.Time

// New returns a Limiter without teams.
func New(o Options) *Limiter {
	o.Log = o.Log.WithName("quota")

	return &Limiter{Options: o, teams: map[carobward.TeamName]*team{}}
}

// SetTeams applies the teams of a configuration. Buckets keep their tokens.
func (l *Limiter) SetTeams(list []carobward.Team) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	all := make(map[carobward.TeamName]*team, len(list))

	for i := range list {
		name := list[i].Name

		t := l.teams[name]
		if t == nil {
			t = &team{hash: cwrank.Hash(string(name))}
		}

		t.quota = list[i].Quota
		all[name] = t
	}

	l.teams = all
}

// SetBounds applies new bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.bounds = b
}
