package cwquota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwrank"
)

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

	s.burst = max(1, math.Floor(s.burst))

	return s
}

// Tick creates the buckets that this entry VM has come to own, drops those that it no
// longer owns, and logs teams beyond their quotas. It should be called each second.
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

	l.logBeyond(now)
}

// updateBucket updates the bucket of a team if this entry VM owns one, or drops it. It
// reports whether this entry VM owns one. The mutex must be held.
func (l *Limiter) updateBucket(t *team, f *Fleet, now time.Time) bool {
	if t.quota.Rate <= 0 || !f.Settled || float64(1+len(f.Peers)) < minKnownFraction*float64(f.DomainSize) || !slices.Contains(l.owners(t, f), l.Self) {
		t.bucket = nil

		return false
	}

	s := l.shareOf(t, f)
	t.adjustBucket(&s, now)

	return true
}
