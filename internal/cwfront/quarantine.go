package cwfront

import (
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquarantine"
)

// checkCrash finds out whether the server's process ended during a send that broke, and
// logs it. The log line has the id and the fingerprint of the request, by which the same
// content is found under other ids.
func (r *request) checkCrash(s *send) {
	f := r.front
	state := r.processStateOf(s.backend)
	p := r.fingerprint()
	f.Log.Info("A send ended without a complete reply.", "id", r.id, "server", s.backend.Instance, "address", s.backend.Address,
		"state", state.String(), "took", f.Clock.Now().Sub(s.at).Milliseconds(), "print", p.String())

	if state == processEnded {
		r.reportCrash(s, p)
	}
}

// reportCrash records that a server crashed with the request in flight. If several servers
// crash at once, most requests that did not cause it are answered by the next server. Their
// crashes are not shared with the other entry VMs, which saves writes to the store.
func (r *request) reportCrash(s *send, p cwquarantine.Fingerprint) {
	q := r.front.Quarantine
	c := cwquarantine.Crash{
		Fingerprint: p, Server: s.backend.Instance, Start: s.backend.Start, At: r.front.Clock.Now(), VM: q.VM,
		Service: r.service, Route: r.route.Name, Request: cwquarantine.DescribeRequest(&r.call), Caller: r.ip,
	}

	if !q.RecordCrash(c) {
		<-r.done

		if r.isAnswered() {
			q.Answered(p)

			return
		}
	}

	q.Share(c)
}

// isAnswered reports whether a server answered the request, which shows that servers can
// handle it. It is valid once the request is done.
func (r *request) isAnswered() bool {
	return r.err == nil && r.reply != nil && r.reply.Status < fasthttp.StatusInternalServerError
}

// fingerprint returns the fingerprint that identifies the request under any id.
func (r *request) fingerprint() cwquarantine.Fingerprint {
	return cwquarantine.FingerprintOf(&r.call, r.ip)
}

// quarantined returns a failure if the request is in quarantine, or nil if it may be sent.
// If aboutToSend is set, the request may become the trial send of its quarantine.
func (r *request) quarantined(aboutToSend bool) error {
	q := r.front.Quarantine
	if r.trial || !q.Table.MayContain(&r.call) {
		return nil
	}

	p := r.fingerprint()
	d := q.Table.Decide(p, r.front.Clock.Now())

	switch {
	case !d.Quarantined, d.Trial.Number > 0 && !aboutToSend:
		return nil
	case d.Trial.Number > 0 && q.ClaimTrial(d.Trial):
		r.trial = true

		return nil
	}

	r.front.counts.Add(countQuarantined, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, d.Wait, ErrQuarantined)
}

// mayResend reports whether this entry VM may send the request to another server, given
// how many servers have crashed with it in flight.
func (r *request) mayResend() bool {
	if r.trial { // A trial may run once; a send that did not run doesn't count.
		return !r.possiblyRun
	}

	t := r.front.Quarantine.Table

	return !t.MayContain(&r.call) || t.Crashes(r.fingerprint(), r.front.Clock.Now()) < cwquarantine.ResendThreshold
}

// complete marks the request as done. An answer ends its quarantine.
func (r *request) complete() {
	close(r.done)
	r.giveBackToken()

	if q := r.front.Quarantine; r.isAnswered() && q.Table.MayContain(&r.call) {
		q.Answered(r.fingerprint())
	}
}
