package cwfront

import (
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// examine finds out whether the server's process ended under a send that broke, and
// logs it: by the id of the request its content can be found again under others.
func (r *request) examine(s *sent) {
	f := r.front
	state := r.lifeOf(s.backend)
	p := r.print()
	f.Log.Info("A request broke off.", "id", r.id, "server", s.backend.Instance, "address", s.backend.Address,
		"state", state.String(), "took", f.Clock.Now().Sub(s.at).Milliseconds(), "print", p.String())

	if state == lifeEnded {
		r.blame(s, p)
	}
}

// blame notes that a server ended under the request. Who ended by chance beside the
// one that did it is mostly answered by the next server: then nobody is told, which
// keeps the store out of it where many servers end at once.
func (r *request) blame(s *sent, p cwquarantine.Fingerprint) {
	q := r.front.Quarantine
	c := cwquarantine.Crash{
		Fingerprint: p, Server: s.backend.Instance, Start: s.backend.Start, At: r.front.Clock.Now(), VM: q.VM,
		Service: r.service, Route: r.route.Name, Request: cwquarantine.DescribeRequest(&r.call), Caller: r.ip,
	}

	if !q.RecordCrash(c) {
		<-r.over

		if r.isAnswered() {
			q.Answered(p)

			return
		}
	}

	q.Share(c)
}

// isAnswered tells, once the request is over, whether a server answered it: then
// servers bear it.
func (r *request) isAnswered() bool {
	return r.err == nil && r.reply != nil && r.reply.Status < fasthttp.StatusInternalServerError
}

// print returns what the request is known by again under another id.
func (r *request) print() cwquarantine.Fingerprint { return cwquarantine.FingerprintOf(&r.call, r.ip) }

// quarantined returns the failure of a request under which servers ended, or nil for
// one that may be sent. Send tells that it is about to be sent: then it may be that
// of a trial.
func (r *request) quarantined(send bool) error {
	q := r.front.Quarantine
	if r.trial || !q.Table.MayContain(&r.call) {
		return nil
	}

	p := r.print()
	d := q.Table.Decide(p, r.front.Clock.Now())

	switch {
	case !d.Quarantined, d.Trial.Number > 0 && !send:
		return nil
	case d.Trial.Number > 0 && q.ClaimTrial(d.Trial):
		r.trial = true

		return nil
	}

	r.front.counts.Add(countQuarantined, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, d.Wait, ErrQuarantined)
}

// mayResend tells whether this entry VM sends the request to a further server by
// itself, as far as servers that ended under it go.
func (r *request) mayResend() bool {
	if r.trial { // It has one run, and a send that did not run is none.
		return !r.begun
	}

	t := r.front.Quarantine.Table

	return !t.MayContain(&r.call) || t.Crashes(r.print(), r.front.Clock.Now()) < cwquarantine.ResendThreshold
}

// end notes how the request ended: an answer ends its quarantine.
func (r *request) end() {
	close(r.over)

	if q := r.front.Quarantine; r.isAnswered() && q.Table.MayContain(&r.call) {
		q.Answered(r.print())
	}
}
