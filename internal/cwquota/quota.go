// Package cwquota holds teams to their quotas over all entry VMs. Nobody counts the requests
// of all: a quota is divided among the failure domains by their entry VMs, and in each a few
// entry VMs, the first by rendezvous hash for the team, own token buckets. The others ask an
// owner for tokens before they send, and where those have none those of other failure domains.
// So whoever sends more, whatever is cut off and whoever starts anew, the sum of the buckets is
// the bound.
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

// The figures of dividing a quota.
const (
	// ownersMost is how many entry VMs of a failure domain own a team's buckets, so that a
	// good part is there when one of them is lost and nobody has noticed yet.
	ownersMost = 2
	// burstLeast is the least that a bucket holds where a team has several: requests come by
	// chance, and two at once are nothing unusual.
	burstLeast = 2
	// burstPart is the part of a team's burst that is divided. The rest is for tokens that
	// are held by who asked, and for a bucket whose owner changes.
	burstPart = 0.9
	// slackRate and slackBurst are the parts of what may be sent beyond a quota by which
	// buckets fill and hold more: those of small teams would hold less than one token.
	slackRate  = 0.3
	slackBurst = 0.6
	// overPart is the part of the overshoot by which buckets hold more. The rest is for the
	// tokens that are held by who asked.
	overPart = 0.5
	// knownLeast is the part of the entry VMs of a failure domain that an owner must hear.
	// One that is cut off would take itself for an owner of all.
	knownLeast = 0.75
	// stockTime is for how long tokens that were asked for ahead may be used, and the time
	// for which they are.
	stockTime = 200 * time.Millisecond
	// askTime bounds one ask for tokens.
	askTime = 100 * time.Millisecond
	// farTime bounds one ask in another failure domain, silentTime is for how long one is not
	// asked again that did not answer.
	farTime    = 50 * time.Millisecond
	silentTime = time.Second
	// dryMost is for how long at most a failure domain is not asked again that had no token:
	// tokens come one by one, and other entry VMs have heard nothing of that.
	dryMost = 200 * time.Millisecond
	// againTime is when a caller may come back that is refused since no owner answered.
	againTime = 300 * time.Millisecond
	// waitLeast bounds from below when one may come back that is beyond the quota.
	waitLeast = 100 * time.Millisecond
)

// The errors of a request without a token.
const (
	// ErrOver: the team is beyond its quota.
	ErrOver = errors.ConstError("the team is beyond its quota")
	// ErrUnknown: no owner of the team's tokens answered.
	ErrUnknown = errors.ConstError("it can't be told whether the team is within its quota")
)

// Bounds say what may be sent beyond quotas: in each Window Overshoot of what a quota allows
// in it, and Slack requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Fleet is what is known of the entry VMs that divide quotas.
type Fleet struct {
	// Peers are the other ones of the failure domain that live and do not stop.
	Peers []carobward.VMID
	// Near is how many there were lately in the failure domain, with this one.
	Near int
	// Part is the part of all entry VMs that they are.
	Part float64
	// Domains are the other failure domains.
	Domains []carobward.Domain
	// Settled tells that this entry VM has had the time to hear of the others.
	Settled bool
}

// Grant is the answer of an entry VM that is asked for tokens.
type Grant struct {
	// Owner tells that it owns a bucket of the team.
	Owner bool
	// Tokens is how many it gives, Wait is when to ask again where that is none.
	Tokens int
	Wait   time.Duration
}

// Options are the parts that a Keeper needs.
type Options struct {
	Self  carobward.VMID
	Clock carobward.Clock
	Log   logr.Logger
	Fleet func(now time.Time) Fleet
	// Ask asks another entry VM for some tokens of a team.
	Ask func(ctx context.Context, to carobward.VMID, team carobward.TeamName, want int) (Grant, error)
	// AskFar has an entry VM of another failure domain call Near.
	AskFar func(ctx context.Context, in carobward.Domain, team carobward.TeamName, want int) (Grant, error)
}

// Keeper has the quotas of all teams. It is safe for use by several goroutines.
type Keeper struct {
	Options

	mutex  sync.Mutex
	bounds Bounds
	teams  map[carobward.TeamName]*team
}

// team is what is kept of a team. It is guarded by the mutex of its Keeper.
type team struct {
	hash  uint64
	quota carobward.Quota
	// bucket is this entry VM's where it is an owner.
	bucket *rate.Limiter
	// refused counts what was refused since counted.
	refused int
	counted time.Time
	// stock are tokens that were asked for ahead and may be used until a time.
	stock int
	until time.Time
	// asked counts the requests of the team in the span that began at since, lately is
	// their number in the one before.
	asked, lately int
	since         time.Time
	// dry has until when failure domains are not asked.
	dry map[carobward.Domain]time.Time
}

// New returns a Keeper without teams.
func New(o Options) *Keeper {
	o.Log = o.Log.WithName("quota")

	return &Keeper{Options: o, teams: map[carobward.TeamName]*team{}}
}

// SetTeams puts the teams of a configuration in force. Buckets stay as full as they are.
func (k *Keeper) SetTeams(list []carobward.Team) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	all := make(map[carobward.TeamName]*team, len(list))

	for i := range list {
		name := list[i].Name

		t := k.teams[name]
		if t == nil {
			t = &team{hash: cwrank.Hash(string(name))}
		}

		t.quota = list[i].Quota
		all[name] = t
	}

	k.teams = all
}

// SetBounds puts new bounds in force.
func (k *Keeper) SetBounds(b Bounds) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.bounds = b
}

// Take takes a token for a request of a team. It returns ErrOver or ErrUnknown, with when
// the caller may come back, where there is none.
func (k *Keeper) Take(ctx context.Context, name carobward.TeamName) (time.Duration, error) {
	now := k.Clock.Now()

	want, f := k.begin(name, now)
	if want == 0 {
		return 0, nil
	}

	g, err := k.near(ctx, name, want, &f)
	if g.Tokens > 0 {
		k.store(name, g.Tokens-1, now)

		return 0, nil
	}

	if k.takeFar(ctx, name, &f, now) {
		return 0, nil
	}

	if err != nil {
		return againTime, ErrUnknown
	}

	return g.Wait, ErrOver
}

// Near gives tokens of a team that owners of this failure domain have.
func (k *Keeper) Near(ctx context.Context, name carobward.TeamName, want int) Grant {
	f := k.Fleet(k.Clock.Now())

	g, err := k.near(ctx, name, want, &f)
	if err != nil {
		return Grant{}
	}

	return g
}

// near asks the owners of this failure domain, one after the other. The error is that none of
// them answered.
func (k *Keeper) near(ctx context.Context, name carobward.TeamName, want int, f *Fleet) (Grant, error) {
	none := Grant{Wait: math.MaxInt64}

	for _, o := range k.ownersOf(name, f) {
		g, err := k.ask(ctx, o, name, want)

		switch {
		case err != nil:
			k.Log.V(1).Info("An owner of tokens did not answer.", "vm", o, "team", name, "cause", err.Error())
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

// takeFar takes a token in another failure domain.
func (k *Keeper) takeFar(ctx context.Context, name carobward.TeamName, f *Fleet, now time.Time) bool {
	for _, i := range rand.Perm(len(f.Domains)) {
		d := f.Domains[i]
		if k.isDry(name, d, now) {
			continue
		}

		ctx, cancel := context.WithTimeout(ctx, farTime)
		g, err := k.AskFar(ctx, d, name, 1)
		cancel()

		if err != nil {
			k.Log.V(1).Info("A failure domain did not answer for tokens.", "domain", d, "team", name, "cause", err.Error())
			k.setDry(name, d, now.Add(silentTime))

			continue
		}

		if g.Tokens > 0 {
			return true
		}

		k.setDry(name, d, now.Add(min(dryMost, max(waitLeast, g.Wait))))
	}

	return false
}

func (k *Keeper) isDry(name carobward.TeamName, d carobward.Domain, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	t := k.teams[name]

	return t == nil || now.Before(t.dry[d])
}

func (k *Keeper) setDry(name carobward.TeamName, d carobward.Domain, until time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	t := k.teams[name]
	if t == nil {
		return
	}

	if t.dry == nil {
		t.dry = map[carobward.Domain]time.Time{}
	}

	t.dry[d] = until
}

// begin uses a token of the stock, or returns how many to ask for among whom.
func (k *Keeper) begin(name carobward.TeamName, now time.Time) (int, Fleet) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	t := k.teams[name]
	if t == nil || t.quota.Rate <= 0 {
		return 0, Fleet{}
	}

	t.count(now)

	if t.stock > 0 && now.Before(t.until) {
		t.stock--

		return 0, Fleet{}
	}

	return 1 + t.lately, k.Fleet(now)
}

// ownersOf returns the owners of a team's buckets in any order, so that they empty alike.
func (k *Keeper) ownersOf(name carobward.TeamName, f *Fleet) []carobward.VMID {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	t := k.teams[name]
	if t == nil {
		return nil
	}

	owners := k.owners(t, f)
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })

	return owners
}

// count counts a request. The number of the last span is what a stock for the next one is.
func (t *team) count(now time.Time) {
	if past := now.Sub(t.since); past >= stockTime {
		t.lately = 0
		if past < 2*stockTime {
			t.lately = t.asked
		}

		t.asked, t.since = 0, now
	}

	t.asked++
}

// store keeps tokens that are left of those that were given.
func (k *Keeper) store(name carobward.TeamName, tokens int, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if t := k.teams[name]; t != nil && tokens > 0 {
		t.stock, t.until = tokens, now.Add(stockTime)
	}
}

func (k *Keeper) ask(ctx context.Context, to carobward.VMID, name carobward.TeamName, want int) (Grant, error) {
	if to == k.Self {
		return k.Grant(name, want), nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()

	return k.Ask(ctx, to, name, want)
}

// owners returns the entry VMs of the failure domain that own buckets of a team, as far as
// this one knows; the mutex is held.
func (k *Keeper) owners(t *team, f *Fleet) []carobward.VMID {
	own := weighed{k.Self, cwrank.Mix(cwrank.Hash(string(k.Self)), t.hash)}
	first, second := own, weighed{}

	for _, id := range f.Peers {
		switch w := (weighed{id, cwrank.Mix(cwrank.Hash(string(id)), t.hash)}); {
		case w.weight > first.weight:
			first, second = w, first
		case w.weight > second.weight:
			second = w
		}
	}

	if k.shareOf(t, f).owners < ownersMost || second.id == "" {
		return []carobward.VMID{first.id}
	}

	return []carobward.VMID{first.id, second.id}
}

// weighed is an entry VM with its weight for a team.
type weighed struct {
	id     carobward.VMID
	weight uint64
}

// share is what each of some owners of a failure domain has of a quota.
type share struct {
	owners int
	rate   float64
	burst  float64
}

// shareOf returns how a quota is divided in this failure domain. Where a bucket of several
// would hold less than burstLeast there is one; the mutex is held.
func (k *Keeper) shareOf(t *team, f *Fleet) share {
	s := share{owners: 1}
	s.rate = f.Part * float64(t.quota.Rate)
	s.burst = f.Part * (burstPart*t.quota.Burst + slackBurst*k.bounds.Slack)

	if window := k.bounds.Window.Seconds(); window > 0 {
		s.rate += f.Part * slackRate * k.bounds.Slack / window
		s.burst += f.Part * overPart * k.bounds.Overshoot * (window*float64(t.quota.Rate) + t.quota.Burst)
	}

	if s.burst >= ownersMost*burstLeast && len(f.Peers) > 0 {
		s.owners, s.rate, s.burst = ownersMost, s.rate/ownersMost, s.burst/ownersMost
	}

	s.burst = max(1, s.burst)

	return s
}

// Tick begins to fill the buckets that this entry VM has come to own, and drops the others. It
// should be called each second.
func (k *Keeper) Tick(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if len(k.teams) == 0 {
		return
	}

	f := k.Fleet(now)
	for _, t := range k.teams {
		k.own(t, &f, now)
	}
}

// own fills the bucket of a team where this entry VM owns one, and tells whether it does; the
// mutex is held.
func (k *Keeper) own(t *team, f *Fleet, now time.Time) (share, bool) {
	if t.quota.Rate <= 0 || !f.Settled || float64(1+len(f.Peers)) < knownLeast*float64(f.Near) || !slices.Contains(k.owners(t, f), k.Self) {
		t.bucket = nil

		return share{}, false
	}

	s := k.shareOf(t, f)
	t.fill(&s, now)

	return s, true
}

// Grant gives tokens of a team where this entry VM owns a bucket of it.
func (k *Keeper) Grant(name carobward.TeamName, want int) Grant {
	now := k.Clock.Now()

	k.mutex.Lock()
	defer k.mutex.Unlock()

	t := k.teams[name]
	if t == nil {
		return Grant{}
	}

	f := k.Fleet(now)

	s, owner := k.own(t, &f, now)
	if !owner {
		return Grant{}
	}

	n := min(want, int(t.bucket.TokensAt(now)))
	if n <= 0 || !t.bucket.AllowN(now, n) {
		return Grant{Owner: true, Wait: t.refuse(&s, now)}
	}

	return Grant{Owner: true, Tokens: n}
}

// fill brings the bucket to its share. A new one holds a single token: another entry VM may
// have given what the team may have now.
func (t *team) fill(s *share, now time.Time) {
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

// refuse notes a refusal and returns when its caller may come back: after the others that
// were refused in the last second have had their turn.
func (t *team) refuse(s *share, now time.Time) time.Duration {
	if now.Sub(t.counted) >= time.Second {
		t.refused, t.counted = 0, now
	}

	t.refused++

	return max(waitLeast, time.Duration(float64(t.refused)/s.rate*float64(time.Second)))
}
