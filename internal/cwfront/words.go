package cwfront

import (
	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// hear takes what a reply says of its server, before the caller gets its answer.
func (r *request) hear(s *cwbackend.Server, reply *carobward.Reply, from cwbackend.Source) {
	f := r.front
	b := s.Backend()
	news := s.Hear(reply, from, f.Clock.Now())

	if news.Limit {
		l := reply.Limit
		f.Log.Info("A server's limit has changed.", "server", b.Instance, "named", l.Named, "readable", l.Readable, "rate", l.Rate,
			"from", from.String(), "id", r.id)
	}

	if news.Leaving {
		f.Log.Info("A server says that it leaves, it gets nothing more.", "server", b.Instance, "start", b.Start, "from", from.String(), "id", r.id)
	}

	if news.Pause {
		f.Log.Info("A server wants no requests for a time.", "server", b.Instance, "pause", reply.Pause.For.String(), "id", r.id)
	}

	if l, p := reply.Leaving, reply.Pause; l.Named && !l.Readable || p.Named && !p.Readable {
		f.Log.Info("A word of a server can't be read and is passed over.", "server", b.Instance, "leaving", l.Named && !l.Readable,
			"pause", p.Named && !p.Readable, "id", r.id)
	}
}
