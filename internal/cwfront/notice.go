package cwfront

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// recordNotices records what a reply reports about its server, before the caller gets its
// answer.
func (r *request) recordNotices(s *cwbackend.Server, reply *carobward.Reply, from cwbackend.Source) {
	r.front.recordNotices(r.id, s, reply, from)
}

// recordNotices is the same for a reply to a request of an id, or to a health check that was
// made for none.
func (f *Front) recordNotices(id carobward.RequestID, s *cwbackend.Server, reply *carobward.Reply, from cwbackend.Source) {
	b := s.Backend()
	changes := s.ApplyReply(reply, from, f.Clock.Now())

	if changes.Limit {
		l := reply.Limit
		f.Log.Info("A server announced a new rate limit.", "server", b.Instance, "named", l.Present, "readable", l.Readable, "rate", l.Rate,
			"from", from.String(), "id", id)
	}

	if changes.Leaving {
		f.Log.Info("A server announced that it is leaving; it gets no more requests.", "server", b.Instance, "start", b.Start, "from", from.String(), "id", id)
	}

	if changes.Pause {
		f.Log.Info("A server asked for a pause; it gets no requests meanwhile.", "server", b.Instance, "pause", reply.Pause.Delay.String(), "id", id)
	}

	if l, p := reply.Leaving, reply.Pause; l.Present && !l.Readable || p.Present && !p.Readable {
		f.Log.Info("Ignored a malformed notice from a server.", "server", b.Instance, "leaving", l.Present && !l.Readable,
			"pause", p.Present && !p.Readable, "id", id)
	}
}
