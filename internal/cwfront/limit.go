package cwfront

import (
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// speaksOfLimit tells whether a reply says whether there is a limit. A refusal or a failure
// that names none does not: it may leave out all but that, and each failure of a server in
// need would let all entry VMs loose on it.
func (s *sent) speaksOfLimit() bool {
	other := s.reply.Instance != "" && s.reply.Instance != s.backend.Instance

	return !other && s.reply.Status != fasthttp.StatusMisdirectedRequest && (s.reply.Limit.Named || s.good())
}

// takeLimit takes what a server's reply says of its limit.
func (r *request) takeLimit(s *cwbackend.Server, l carobward.Limit, from cwbackend.LimitSource) {
	f := r.front
	w := carobward.LimitWord{Server: s.Backend().Instance, Limit: l, At: f.Clock.Now()}

	if s.TakeLimit(w, from) {
		f.Log.Info("A server's limit has changed.", "server", w.Server, "named", l.Named, "readable", l.Readable, "rate", l.Rate,
			"from", from.String(), "id", r.id)
	}
}
