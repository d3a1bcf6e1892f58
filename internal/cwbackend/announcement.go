package cwbackend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// announceTime is how long an entry VM passes on what a server announced to it: two
// heartbeats, one of which may be lost.
const announceTime = 2500 * time.Millisecond

// Source is how this entry VM learned what a server announces.
type Source uint8

// The sources of announcements.
const (
	// ByReply: the server's reply to a request.
	ByReply Source = iota
	// ByHealthCheck: the server's answer to a health check.
	ByHealthCheck
	// ByPeer: another entry VM, to which the server replied.
	ByPeer
)

var sourceNames = [...]string{ByReply: "reply", ByHealthCheck: "look", ByPeer: "peer"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// announcers is the set of servers whose announcements other entry VMs may lack. It is small;
// going through all servers for each heartbeat would cost more with every server.
type announcers struct {
	mutex sync.Mutex
	all   map[*Server]struct{}
}

func newAnnouncers() *announcers { return &announcers{all: map[*Server]struct{}{}} }

func (p *announcers) add(s *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.all[s] = struct{}{}
}

// list returns the servers in no particular order.
func (p *announcers) list() []*Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return slices.Collect(maps.Keys(p.all))
}

func (p *announcers) remove(s *Server) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	delete(p.all, s)
}

// hasAnnouncement reports whether the server has announced something that still holds or that
// is still passed on.
func (s *Server) hasAnnouncement(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.leavingSince.IsZero() || s.limit.Present || now.Sub(s.limit.changedAt) < announceTime
}

// Changes is what a reply changed in the state that is kept of its server.
type Changes struct {
	Limit   bool
	Leaving bool
	// Pause is set if the server asks for a pause that ends later than the one known.
	Pause bool
}

// ApplyReply updates the state of the server from a reply to a request or a health check. A
// reply from another server at the same address is ignored.
func (s *Server) ApplyReply(r *carobward.Reply, from Source, now time.Time) Changes {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if r.Status == fasthttp.StatusMisdirectedRequest || r.Instance != "" && r.Instance != s.backend.Instance {
		return Changes{}
	}

	if !r.Report.At.IsZero() && r.Report.At.After(s.report.At) {
		s.report = r.Report
	}

	if r.HasWarmup {
		s.warmupEnd, s.reportedWarmupEnd = time.Time{}, now.Add(r.Warmup) // Newer than any entry in the list of servers.
	}

	changes := Changes{Leaving: r.Leaving.IsLeaving() && s.leavingSince.IsZero(), Pause: s.extendPause(r, from, now)}

	if changes.Leaving {
		s.leavingSince = now
		s.announcers.add(s)
	}

	if statesLimit(r, from) {
		changes.Limit = s.mergeLimit(carobward.LimitAnnouncement{Limit: r.Limit, At: now}, from)
	}

	return changes
}

// statesLimit reports whether a reply says if the server has a limit. A refusal or a failure
// without a limit does not: such replies may lack the header, and if each failure of an
// overloaded server lifted its limit, all entry VMs would send to it at full rate.
func statesLimit(r *carobward.Reply, from Source) bool {
	return from == ByHealthCheck || r.Limit.Present || !r.Shed && r.Status < fasthttp.StatusInternalServerError
}

// extendPause applies the pause that a reply asks for. The latest end counts. Replies to
// health checks cannot pause a server. The mutex must be held.
func (s *Server) extendPause(r *carobward.Reply, from Source, now time.Time) bool {
	until := now.Add(r.Pause.Delay)
	if from != ByReply || !r.Pause.Readable || !until.After(s.pausedUntil) || !until.After(now) {
		return false
	}

	s.pausedUntil = until

	return true
}

// MergeLeaving merges the leaving notices that other entry VMs received from servers. It
// returns those that were new.
func (t *Table) MergeLeaving(list []carobward.LeavingAnnouncement, now time.Time) []carobward.LeavingAnnouncement {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	var added []carobward.LeavingAnnouncement

	for _, w := range list {
		if s := t.byInstance[w.Server]; s != nil && s.mergeLeaving(w, now) {
			added = append(added, w)
		}
	}

	return added
}

func (s *Server) mergeLeaving(w carobward.LeavingAnnouncement, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.backend.Start != w.Start || !s.leavingSince.IsZero() {
		return false
	}

	// Backdated, so that this entry VM does not pass it on as received from the server.
	s.leavingSince = now.Add(-announceTime)
	s.announcers.add(s)

	return true
}

// Announcements returns what servers announced that other entry VMs may lack: what they
// announced to this entry VM recently, or everything that holds if the recipient is a
// new entry VM.
func (t *Table) Announcements(now time.Time, newcomer bool) carobward.Announcements {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	announcing := t.announcing(now)
	announcements := carobward.Announcements{Limits: limits(announcing, now, newcomer)}

	for i, s := range announcing {
		s.mutex.Lock()
		leaving, start := s.leavingSince, s.backend.Start
		s.mutex.Unlock()

		if !leaving.IsZero() && (newcomer || now.Sub(leaving) < announceTime) {
			announcements.Leaving = append(announcements.Leaving, carobward.LeavingAnnouncement{Server: i, Start: start})
		}
	}

	return announcements
}

// announcing returns the servers with announcements and drops those whose announcements have
// expired. The mutex must be held.
func (t *Table) announcing(now time.Time) map[carobward.Instance]*Server {
	all := map[carobward.Instance]*Server{}

	for _, s := range t.announcers.list() {
		i := s.Backend().Instance

		if t.byInstance[i] != s || !s.hasAnnouncement(now) {
			t.announcers.remove(s)

			continue
		}

		all[i] = s
	}

	return all
}

// LeavingAndPaused returns how many servers announced that they are leaving, and how many
// currently ask this entry VM to pause.
func (t *Table) LeavingAndPaused(now time.Time) (leaving, paused int) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	for _, s := range t.byInstance {
		s.mutex.Lock()
		if !s.leavingSince.IsZero() {
			leaving++
		}

		if now.Before(s.pausedUntil) {
			paused++
		}
		s.mutex.Unlock()
	}

	return leaving, paused
}

// Suspended moves back all recorded times by a period in which the VM was suspended and its
// clock did not advance. Otherwise this entry VM would pass on outdated announcements.
func (t *Table) Suspended(by time.Duration) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()

	for _, s := range t.byInstance {
		s.suspended(by)
	}

	for _, d := range t.departed {
		d.server.suspended(by)
	}
}

func (s *Server) suspended(by time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, at := range []*time.Time{&s.replacedAt, &s.limit.at, &s.limit.ownAt, &s.limit.changedAt, &s.leavingSince, &s.pausedUntil} {
		*at = carobward.SetBack(*at, by)
	}

	for i := range s.sends {
		s.sends[i] = carobward.SetBack(s.sends[i], by)
	}
}
