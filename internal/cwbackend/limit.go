package cwbackend

import (
	"cmp"
	"slices"
	"time"

	"carobward.example/carobward"
)

// A server in need names how many requests a second it takes from all entry VMs together.
// Its bound is divided, see sharers: by those that know it, of which each has its part in a
// window that is long enough for limitOwners parts. So the mean is below the limit in each
// window, and the requests at the start of one are few. The others, and all entry VMs of
// other failure domains, send nothing while anybody says that the limit stands.

// The figures of limits.
const (
	// limitOwners is how many entry VMs have a part of a limit at least, where there are
	// as many, so that the server is used when some of them have no callers or are lost.
	limitOwners = 4
	// limitKeep is the time after the last word on a limit after which an entry VM
	// without a part asks the server again with a request: the limit may have been taken
	// back unheard. Three failure domains together take 0.1 a second for that, and for
	// limits below one a second it takes longer in proportion, to limitLeast.
	limitKeep  = 30 * time.Second
	limitLeast = 0.25
	// limitStep is by how much later each further entry VM by hash asks again, so that
	// the word on the first one's request reaches the others before their turn.
	limitStep = 2 * time.Second
	// limitRateLeast and limitRateMost are between which rates limits are divided: less
	// than one request in a quarter of an hour is none, and a server that takes more than
	// the entry VMs of a failure domain carry is not bounded.
	limitRateLeast = 0.001
	limitRateMost  = 100_000
)

// limit is what this entry VM believes of a server's limit.
type limit struct {
	carobward.Limit

	// at is when the server's newest word on it came, to any entry VM.
	at time.Time
	// own is when it last came to this one, since when the limit was named or taken
	// back.
	own   time.Time
	since time.Time
	// looks tells that the server's health answers name it.
	looks bool
}

// TakeLimit takes a word on the server's limit, and tells whether that changes what is
// believed. A word that can't be read does not: a server that has named a limit is still
// in need, for one that has not nothing can be derived.
func (s *Server) TakeLimit(w carobward.LimitWord, from Source) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	// A peer's word may be on the process before this one.
	if w.At.Before(s.follows) {
		return false
	}

	return s.takeLimit(w, from)
}

// takeLimit takes a word on the limit; the mutex is held.
func (s *Server) takeLimit(w carobward.LimitWord, from Source) bool {
	changed := s.limit.take(w, from)
	if changed || s.limit.Named {
		s.speakers.add(s)
	}

	return changed
}

func (l *limit) take(w carobward.LimitWord, from Source) bool {
	if w.At.Before(l.at) || !l.counts(w, from) {
		return false
	}

	l.at = w.At

	if from == ByLook {
		l.looks = w.Limit.Named
	}

	if from != ByPeer {
		l.own = w.At
	}

	next := w.Limit
	if next.Named && !next.Readable && l.Readable {
		next = l.Limit
	}

	if next == l.Limit {
		return false
	}

	l.Limit, l.since = next, w.At

	return true
}

// counts tells whether a word says anything of the limit.
func (l *limit) counts(w carobward.LimitWord, from Source) bool {
	switch {
	case w.Passed && !l.at.IsZero():
		// One that goes round would never grow old: it is for who knows nothing yet.
		return false
	case from == ByLook && !w.Limit.Named:
		// Where its health answers do not speak of limits they take none back.
		return l.looks
	default:
		return true
	}
}

// bound returns how many requests all entry VMs together send to a server with a limit in
// a window.
func (l *limit) bound() (int, time.Duration) {
	rate := sharePart * float64(l.Rate)
	if most := rate * shareWindow.Seconds(); most >= limitOwners {
		return int(most), shareWindow
	}

	return limitOwners, time.Duration(limitOwners / rate * float64(time.Second))
}

// limitAllowance returns this entry VM's part of what a server with a limit takes; the mutex
// is held.
func (t *Table) limitAllowance(b *carobward.Backend, l *limit, now time.Time) allowance {
	if !l.Named || !l.Readable || l.Rate > limitRateMost {
		return allowance{}
	}

	if l.Rate >= limitRateLeast {
		most, window := l.bound()
		if part := t.part(b, most, min(most, t.knowers(t.near[b.Service])), now); part > 0 {
			return allowance{most: part, window: window}
		}
	}

	again := time.Duration(float64(limitKeep) / min(1, max(limitLeast, float64(l.Rate))))
	if place := t.shares.places[b.Instance]; place != nil {
		again += time.Duration(place.before) * limitStep
	}

	return allowance{most: 1, window: again, from: l.at.Add(again)}
}

// TakeLimits takes words on limits that other entry VMs had from servers. It returns those
// that were news.
func (t *Table) TakeLimits(list []carobward.LimitWord) []carobward.LimitWord {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var news []carobward.LimitWord

	for _, w := range list {
		if s := t.byInstance[w.Server]; s != nil && s.TakeLimit(w, ByPeer) {
			news = append(news, w)
		}
	}

	return news
}

// limits returns the words on limits that other entry VMs lack: those that servers gave this
// one lately, or for a newcomer all limits that stand.
func limits(said map[carobward.Instance]*Server, now time.Time, newcomer bool) []carobward.LimitWord {
	var list []carobward.LimitWord

	for i, s := range said {
		s.mutex.Lock()
		l := s.limit
		s.mutex.Unlock()

		if news := l.isNews(now); news || newcomer && l.Readable {
			list = append(list, carobward.LimitWord{Server: i, Limit: l.Limit, At: l.at, Passed: !news})
		}
	}

	return list
}

// isNews tells whether what is believed comes from a late word of the server to this entry
// VM.
func (l *limit) isNews(now time.Time) bool {
	late := l.at.Equal(l.own) && now.Sub(l.own) < newsTime
	lifted := !l.Named && now.Sub(l.since) < newsTime

	return late && (l.Readable || lifted)
}

// Limited is a server that names a limit, as this entry VM sees it.
type Limited struct {
	carobward.LimitWord

	Service carobward.Service
	// Part is the number of requests that this entry VM sends it in any Window.
	Part   int
	Window time.Duration
}

// Limited returns the servers that name a limit, in the order of their instances.
func (t *Table) Limited(now time.Time) []Limited {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var list []Limited

	for i, s := range t.byInstance {
		s.mutex.Lock()
		l, b := s.limit, s.backend
		s.mutex.Unlock()

		if l.Named {
			a := t.limitAllowance(&b, &l, now)
			list = append(list, Limited{carobward.LimitWord{Server: i, Limit: l.Limit, At: l.at}, b.Service, a.most, a.window})
		}
	}

	slices.SortFunc(list, func(a, b Limited) int { return cmp.Compare(a.Server, b.Server) })

	return list
}
