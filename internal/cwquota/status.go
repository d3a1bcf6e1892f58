package cwquota

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwreserve"
)

// maxLogged is the maximum number of teams that are logged each second.
const maxLogged = 8

// counts are an owner's answers to token requests, by class.
type counts struct {
	granted, refused [cwreserve.Classes]int64
}

// add counts an answer that grants n tokens.
func (c *counts) add(class cwreserve.Class, n int) {
	if n == 0 {
		c.refused[class]++

		return
	}

	c.granted[class] += int64(n)
}

// Status is the state of the token buckets that this entry VM owns.
type Status struct {
	// Granted and Refused count tokens and refusals by class. A request that two owners
	// refuse counts at both.
	Granted, Refused [cwreserve.Classes]int64
	// Returned counts the unused tokens that requests at this entry VM gave back.
	Returned int64
	// Held is the number of tokens that this entry VM requested in advance and may still use,
	// Expired counts those that it did not use in time.
	Held, Expired int64
	// Beyond are the teams of whose requests this entry VM's bucket recently refused some.
	Beyond []carobward.TeamName
	// Reserved is the number of tokens that the buckets of these teams reserve from the last
	// class.
	Reserved float64
}

// Status returns the state of the token buckets that this entry VM owns.
func (l *Limiter) Status(now time.Time) Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := Status{Granted: l.answered.granted, Refused: l.answered.refused, Returned: l.returned}

	for name, t := range l.teams {
		l.expired += int64(t.stock.dropExpired(now))
		s.Held += int64(t.stock.prefetched)

		if t.bucket != nil && t.bucket.Beyond(now) {
			s.Beyond = append(s.Beyond, name)
			s.Reserved += t.bucket.Reserve(cwreserve.Classes-1, now)
		}
	}

	s.Expired = l.expired

	return s
}

// logBeyond logs what this entry VM granted to teams beyond their quotas since the last call,
// for maxLogged of them at most.
// The mutex must be held.
func (l *Limiter) logBeyond(now time.Time) {
	logged := 0

	for name, t := range l.teams {
		c := t.answered
		t.answered = counts{}

		if t.bucket == nil || !t.bucket.Beyond(now) || logged >= maxLogged {
			continue
		}

		logged++
		l.Log.Info("A team asks for more than its quota.", "team", name, "granted", c.granted, "refused", c.refused, "reserved", t.bucket.Reserve(cwreserve.Classes-1, now))
	}
}
