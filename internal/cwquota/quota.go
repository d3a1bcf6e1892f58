// Package cwquota enforces the quotas of teams over all entry VMs without a central
// counter. A quota is divided among the failure domains in proportion to their entry VMs.
// In each failure domain a few entry VMs, the first ones by rendezvous hashing of the team,
// own token buckets. The other entry VMs request tokens from an owner before they send, and
// if those have none, from other failure domains. So the sum of the buckets is the limit,
// wherever requests arrive, whichever entry VMs are cut off, and whichever restart.
package cwquota

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
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
	// Tokens is how many tokens it grants; Wait is when to ask again if that is none.
	Tokens int
	Wait   time.Duration
}

// Options are the dependencies of a Limiter.
type Options struct {
	Self  carobward.VMID
	Clock carobward.Clock
	Log   logr.Logger
	Fleet func(now time.Time) Fleet
	// Ask requests tokens of a team from another entry VM.
	Ask func(ctx context.Context, to carobward.VMID, team carobward.TeamName, want int) (Grant, error)
	// AskDomain has an entry VM of another failure domain call GrantInDomain.
	AskDomain func(ctx context.Context, in carobward.Domain, team carobward.TeamName, want int) (Grant, error)
}

// Limiter enforces the quotas of all teams. It is safe for concurrent use.
type Limiter struct {
	Options

	mutex  sync.Mutex
	bounds Bounds
	teams  map[carobward.TeamName]*team
}

// team is the state of a team. It is guarded by the Limiter's mutex.
type team struct {
	hash  uint64
	quota carobward.Quota
	// bucket is this entry VM's bucket if it is an owner.
	bucket *rate.Limiter
	// refused counts the refusals since refusedSince.
	refused      int
	refusedSince time.Time
	// prefetched is the number of tokens that were requested in advance. They may be used
	// until prefetchedUntil.
	prefetched      int
	prefetchedUntil time.Time
	// requests counts the team's requests in the period that began at periodStart,
	// lastRequests those in the period before.
	requests, lastRequests int
	periodStart            time.Time
	// backoff has the failure domains that are skipped, and until when.
	backoff map[carobward.Domain]time.Time
}

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

// Take takes a token for a request of a team. If there is none it returns ErrOverQuota or
// ErrUnknown, with the delay after which the caller may retry.
func (l *Limiter) Take(ctx context.Context, name carobward.TeamName) (time.Duration, error) {
	now := l.Clock.Now()

	want, f := l.usePrefetched(name, now)
	if want == 0 {
		return 0, nil
	}

	g, err := l.askOwners(ctx, name, want, &f)
	if g.Tokens > 0 {
		l.storePrefetched(name, g.Tokens-1, now)

		return 0, nil
	}

	if l.takeFromOtherDomain(ctx, name, &f, now) {
		return 0, nil
	}

	if err != nil {
		return unknownRetryDelay, ErrUnknown
	}

	return g.Wait, ErrOverQuota
}

// GrantInDomain grants tokens of a team from the owners in this failure domain.
func (l *Limiter) GrantInDomain(ctx context.Context, name carobward.TeamName, want int) Grant {
	f := l.Fleet(l.Clock.Now())

	g, err := l.askOwners(ctx, name, want, &f)
	if err != nil {
		return Grant{}
	}

	return g
}

// askOwners requests tokens from the owners in this failure domain, one after the other. It
// returns an error if none of them answered.
func (l *Limiter) askOwners(ctx context.Context, name carobward.TeamName, want int, f *Fleet) (Grant, error) {
	none := Grant{Wait: math.MaxInt64}

	for _, o := range l.shuffledOwners(name, f) {
		g, err := l.ask(ctx, o, name, want)

		switch {
		case err != nil:
			l.Log.V(1).Info("A bucket owner did not answer a token request.", "vm", o, "team", name, "cause", err.Error())
		case g.Tokens > 0:
			return g, nil
		case g.Owner:
			none.Owner, none.Wait = true, min(none.Wait, g.Wait)
		}
	}

	if !none.Owner {
		return none, ErrUnknown
	}

	return none, nil
}

// takeFromOtherDomain takes a token from another failure domain.
func (l *Limiter) takeFromOtherDomain(ctx context.Context, name carobward.TeamName, f *Fleet, now time.Time) bool {
	for _, i := range rand.Perm(len(f.Domains)) {
		d := f.Domains[i]
		if l.inBackoff(name, d, now) {
			continue
		}

		ctx, cancel := context.WithTimeout(ctx, domainTimeout)
		g, err := l.AskDomain(ctx, d, name, 1)
		cancel()

		if err != nil {
			l.Log.V(1).Info("A failure domain did not answer a token request.", "domain", d, "team", name, "cause", err.Error())
			l.setBackoff(name, d, now.Add(silentBackoff))

			continue
		}

		if g.Tokens > 0 {
			return true
		}

		l.setBackoff(name, d, now.Add(min(maxEmptyBackoff, max(minRetryDelay, g.Wait))))
	}

	return false
}

func (l *Limiter) inBackoff(name carobward.TeamName, d carobward.Domain, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]

	return t == nil || now.Before(t.backoff[d])
}

func (l *Limiter) setBackoff(name carobward.TeamName, d carobward.Domain, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return
	}

	if t.backoff == nil {
		t.backoff = map[carobward.Domain]time.Time{}
	}

	t.backoff[d] = until
}

// usePrefetched uses a token that was requested in advance, or returns how many to request
// and the entry VMs to request them from. It returns 0 if no token has to be requested.
func (l *Limiter) usePrefetched(name carobward.TeamName, now time.Time) (int, Fleet) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil || t.quota.Rate <= 0 {
		return 0, Fleet{}
	}

	t.countRequest(now)

	if t.prefetched > 0 && now.Before(t.prefetchedUntil) {
		t.prefetched--

		return 0, Fleet{}
	}

	return 1 + t.lastRequests, l.Fleet(now)
}

// shuffledOwners returns the owners of a team's buckets in random order, so that the buckets
// empty evenly.
func (l *Limiter) shuffledOwners(name carobward.TeamName, f *Fleet) []carobward.VMID {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return nil
	}

	owners := l.owners(t, f)
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })

	return owners
}

// countRequest counts a request. The number of tokens to request in advance for a period is
// the number of requests in the period before.
func (t *team) countRequest(now time.Time) {
	if past := now.Sub(t.periodStart); past >= prefetchTime {
		t.lastRequests = 0
		if past < 2*prefetchTime {
			t.lastRequests = t.requests
		}

		t.requests, t.periodStart = 0, now
	}

	t.requests++
}

// storePrefetched keeps the tokens that were granted beyond the one needed.
func (l *Limiter) storePrefetched(name carobward.TeamName, tokens int, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if t := l.teams[name]; t != nil && tokens > 0 {
		t.prefetched, t.prefetchedUntil = tokens, now.Add(prefetchTime)
	}
}

func (l *Limiter) ask(ctx context.Context, to carobward.VMID, name carobward.TeamName, want int) (Grant, error) {
	if to == l.Self {
		return l.Grant(name, want), nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	return l.Ask(ctx, to, name, want)
}

// owners returns the entry VMs of the failure domain that own buckets of a team, as far as
// this one knows. The mutex must be held.
func (l *Limiter) owners(t *team, f *Fleet) []carobward.VMID {
	own := candidate{l.Self, cwrank.Mix(cwrank.Hash(string(l.Self)), t.hash)}
	first, second := own, candidate{}

	for _, id := range f.Peers {
		switch w := (candidate{id, cwrank.Mix(cwrank.Hash(string(id)), t.hash)}); {
		case w.weight > first.weight:
			first, second = w, first
		case w.weight > second.weight:
			second = w
		}
	}

	if l.shareOf(t, f).owners < maxOwners || second.id == "" {
		return []carobward.VMID{first.id}
	}

	return []carobward.VMID{first.id, second.id}
}

// candidate is an entry VM with its rendezvous weight for a team.
type candidate struct {
	id     carobward.VMID
	weight uint64
}

// share is the part of a quota that each owner in a failure domain has.
type share struct {
	owners int
	rate   float64
	burst  float64
}

// shareOf returns how a quota is divided in this failure domain. There is a single owner if
// each of several buckets would hold less than minBurst. The mutex must be held.
func (l *Limiter) shareOf(t *team, f *Fleet) share {
	s := share{owners: 1}
	s.rate = f.DomainShare * float64(t.quota.Rate)
	s.burst = f.DomainShare * (burstFraction*t.quota.Burst + slackBurstFraction*l.bounds.Slack)

	if window := l.bounds.Window.Seconds(); window > 0 {
		s.rate += f.DomainShare * slackRateFraction * l.bounds.Slack / window
		s.burst += f.DomainShare * overshootFraction * l.bounds.Overshoot * (window*float64(t.quota.Rate) + t.quota.Burst)
	}

	if s.burst >= maxOwners*minBurst && len(f.Peers) > 0 {
		s.owners, s.rate, s.burst = maxOwners, s.rate/maxOwners, s.burst/maxOwners
	}

	s.burst = max(1, s.burst)

	return s
}

// Tick creates the buckets that this entry VM has come to own and drops those that it no
// longer owns. It should be called each second.
func (l *Limiter) Tick(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if len(l.teams) == 0 {
		return
	}

	f := l.Fleet(now)
	for _, t := range l.teams {
		l.updateBucket(t, &f, now)
	}
}

// updateBucket updates the bucket of a team if this entry VM owns one, or drops it. It
// reports whether this entry VM owns one. The mutex must be held.
func (l *Limiter) updateBucket(t *team, f *Fleet, now time.Time) (share, bool) {
	if t.quota.Rate <= 0 || !f.Settled || float64(1+len(f.Peers)) < minKnownFraction*float64(f.DomainSize) || !slices.Contains(l.owners(t, f), l.Self) {
		t.bucket = nil

		return share{}, false
	}

	s := l.shareOf(t, f)
	t.adjustBucket(&s, now)

	return s, true
}

// Grant grants tokens of a team if this entry VM owns a bucket of it.
func (l *Limiter) Grant(name carobward.TeamName, want int) Grant {
	now := l.Clock.Now()

	l.mutex.Lock()
	defer l.mutex.Unlock()

	t := l.teams[name]
	if t == nil {
		return Grant{}
	}

	f := l.Fleet(now)

	s, owner := l.updateBucket(t, &f, now)
	if !owner {
		return Grant{}
	}

	n := min(want, int(t.bucket.TokensAt(now)))
	if n <= 0 || !t.bucket.AllowN(now, n) {
		return Grant{Owner: true, Wait: t.countRefusal(&s, now)}
	}

	return Grant{Owner: true, Tokens: n}
}

// adjustBucket adjusts the bucket to its share of the quota. A new bucket holds a single
// token: its previous owner may have granted what the team is entitled to.
func (t *team) adjustBucket(s *share, now time.Time) {
	limit, burst := rate.Limit(s.rate), int(s.burst)

	if t.bucket == nil {
		t.bucket = rate.NewLimiter(limit, burst)
		t.bucket.AllowN(now, burst-1)
	}

	if t.bucket.Limit() != limit {
		t.bucket.SetLimitAt(now, limit)
	}

	if t.bucket.Burst() != burst {
		t.bucket.SetBurstAt(now, burst)
	}
}

// countRefusal counts a refusal and returns the retry delay of its caller, which allows for
// the tokens of all others that were refused within the last second.
func (t *team) countRefusal(s *share, now time.Time) time.Duration {
	if now.Sub(t.refusedSince) >= time.Second {
		t.refused, t.refusedSince = 0, now
	}

	t.refused++

	return max(minRetryDelay, time.Duration(float64(t.refused)/s.rate*float64(time.Second)))
}
