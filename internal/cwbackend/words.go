package cwbackend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// newsTime is for how long after it came a server's word is passed on to other entry VMs:
// two heartbeats, one of which may be lost.
const newsTime = 2500 * time.Millisecond

// Source is where a word of a server comes from.
type Source uint8

// The sources of words.
const (
	// ByReply: the server's reply to a request.
	ByReply Source = iota
	// ByLook: its answer to a health check.
	ByLook
	// ByPeer: another entry VM, which had the server's reply.
	ByPeer
)

var sourceNames = [...]string{ByReply: "reply", ByLook: "look", ByPeer: "peer"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// speakers are the servers that have said something that other entry VMs may lack. They are
// few, where looking at all servers for each heartbeat would cost the more the more there are.
type speakers struct {
	mutex sync.Mutex
	all   map[*Server]struct{}
}

func newSpeakers() *speakers { return &speakers{all: map[*Server]struct{}{}} }

// add notes a server.
func (p *speakers) add(s *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.all[s] = struct{}{}
}

// list returns the servers in any order.
func (p *speakers) list() []*Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return slices.Collect(maps.Keys(p.all))
}

// remove forgets a server.
func (p *speakers) remove(s *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	delete(p.all, s)
}

// speaks tells whether a server has said something that stands or that is still passed on.
func (s *Server) speaks(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.leaving.IsZero() || s.limit.Named || now.Sub(s.limit.since) < newsTime
}

// News is what a reply changes of what is believed of its server.
type News struct {
	Limit   bool
	Leaving bool
	// Pause tells that it gets no requests for longer.
	Pause bool
}

// Hear takes what a reply to a request or a health check says of the server. A reply of
// another server at the address says nothing.
func (s *Server) Hear(r *carobward.Reply, from Source, now time.Time) News {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if r.Status == fasthttp.StatusMisdirectedRequest || r.Instance != "" && r.Instance != s.backend.Instance {
		return News{}
	}

	if !r.Report.At.IsZero() && r.Report.At.After(s.report.At) {
		s.report = r.Report
	}

	if r.SaysWarmup {
		s.warm = now.Add(r.Warmup) // Newer than any entry of the list.
	}

	news := News{Leaving: r.Leaving.Says() && s.leaving.IsZero(), Pause: s.hearPause(r, from, now)}

	if news.Leaving {
		s.leaving = now
		s.speakers.add(s)
	}

	if speaksOfLimit(r, from) {
		news.Limit = s.takeLimit(carobward.LimitWord{Limit: r.Limit, At: now}, from)
	}

	return news
}

// speaksOfLimit tells whether a reply says whether there is a limit. A refusal or a failure
// that names none does not: it may leave out all but that, and each failure of a server in
// need would let all entry VMs loose on it.
func speaksOfLimit(r *carobward.Reply, from Source) bool {
	return from == ByLook || r.Limit.Named || !r.Shed && r.Status < fasthttp.StatusInternalServerError
}

// hearPause takes for how long the server wants no requests, of which the latest end holds.
// Health checks turn nobody away. The mutex is held.
func (s *Server) hearPause(r *carobward.Reply, from Source, now time.Time) bool {
	until := now.Add(r.Pause.For)
	if from != ByReply || !r.Pause.Readable || !until.After(s.paused) || !until.After(now) {
		return false
	}

	s.paused = until

	return true
}

// TakeLeaving takes words of processes that leave, which other entry VMs had from them. It
// returns those that were news.
func (t *Table) TakeLeaving(list []carobward.LeavingWord, now time.Time) []carobward.LeavingWord {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var news []carobward.LeavingWord

	for _, w := range list {
		if s := t.byInstance[w.Server]; s != nil && s.takeLeaving(w, now) {
			news = append(news, w)
		}
	}

	return news
}

func (s *Server) takeLeaving(w carobward.LeavingWord, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.backend.Start != w.Start || !s.leaving.IsZero() {
		return false
	}

	// Long ago, so that it is not passed on as this entry VM's own.
	s.leaving = now.Add(-newsTime)
	s.speakers.add(s)

	return true
}

// Words returns what servers said that other entry VMs lack: lately to this one, or for a
// newcomer all that stands.
func (t *Table) Words(now time.Time, newcomer bool) carobward.ServerWords {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	said := t.said(now)
	words := carobward.ServerWords{Limits: limits(said, now, newcomer)}

	for i, s := range said {
		s.mutex.Lock()
		leaving, start := s.leaving, s.backend.Start
		s.mutex.Unlock()

		if !leaving.IsZero() && (newcomer || now.Sub(leaving) < newsTime) {
			words.Leaving = append(words.Leaving, carobward.LeavingWord{Server: i, Start: start})
		}
	}

	return words
}

// said returns the servers that have said something, and forgets those that have not any more;
// the mutex is held.
func (t *Table) said(now time.Time) map[carobward.Instance]*Server {
	all := map[carobward.Instance]*Server{}

	for _, s := range t.speakers.list() {
		i := s.Backend().Instance

		if t.byInstance[i] != s || !s.speaks(now) {
			t.speakers.remove(s)

			continue
		}

		all[i] = s
	}

	return all
}

// Said returns how many servers say that they leave, and how many want no requests of this
// entry VM now.
func (t *Table) Said(now time.Time) (leaving, paused int) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	for _, s := range t.byInstance {
		s.mutex.Lock()
		if !s.leaving.IsZero() {
			leaving++
		}

		if now.Before(s.paused) {
			paused++
		}
		s.mutex.Unlock()
	}

	return leaving, paused
}

// Suspended sets back when requests were sent and words of servers came, by a time that the
// VM's clock did not count. Without it this entry VM would pass on words that are old.
func (t *Table) Suspended(by time.Duration) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	for _, s := range t.byInstance {
		s.suspended(by)
	}
}

func (s *Server) suspended(by time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, at := range []*time.Time{&s.follows, &s.limit.at, &s.limit.own, &s.limit.since, &s.leaving, &s.paused} {
		*at = carobward.SetBack(*at, by)
	}

	for i := range s.sends {
		s.sends[i] = carobward.SetBack(s.sends[i], by)
	}
}
