package cwbackend

import "time"

// departedTime is for how long what a server announced is remembered after its entry was removed or
// became unusable. Servers go on for seconds after that.
const departedTime = time.Minute

// departed is a server whose entry was removed, with what its process announced.
type departed struct {
	server *Server
	at     time.Time
}

// remember keeps a server that is removed, if it has announced something. The mutex must be held.
func (t *Table) remember(s *Server) {
	if s.hasAnnounced(t.now) {
		t.departed[s.Backend().Instance] = departed{s, t.now}
	}
}

// recall passes what a process announced to its server, whose entry is back. What another process
// announced under the same instance does not apply. The mutex must be held.
func (t *Table) recall(s *Server) {
	b := s.Backend()

	if d, ok := t.departed[b.Instance]; ok && compareStart(b, d.server.Backend()) == same {
		s.takeAnnounced(d.server)
	}

	delete(t.departed, b.Instance)
}

// forgetDeparted drops the servers that departed long ago. The mutex must be held.
func (t *Table) forgetDeparted() {
	for i, d := range t.departed {
		if t.now.Sub(d.at) >= departedTime {
			delete(t.departed, i)
		}
	}
}

// hasAnnounced reports whether the server has announced something that still holds.
func (s *Server) hasAnnounced(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.leavingSince.IsZero() || s.limit.Present || now.Before(s.pausedUntil)
}

// takeAnnounced takes over what the same process announced before.
func (s *Server) takeAnnounced(before *Server) {
	before.mutex.Lock()
	leavingSince, pausedUntil, lastLimit := before.leavingSince, before.pausedUntil, before.limit
	before.mutex.Unlock()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.leavingSince, s.pausedUntil, s.limit = leavingSince, pausedUntil, lastLimit

	if !leavingSince.IsZero() || lastLimit.Present {
		s.announcers.add(s)
	}
}
