package cwfront

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwquarantine"
)

// life is what a server's address shows after a connection to it broke.
type life uint8

// The states of life.
const (
	// lifeUnknown: a cut, or a server that resets connections.
	lifeUnknown life = iota
	// lifeGoesOn: the process is the same, only the connection broke.
	lifeGoesOn
	// lifeEnded: nothing listens any more, or another process does.
	lifeEnded
	// lifeStopped: the list said before that the server leaves.
	lifeStopped
)

var lifeNames = [...]string{lifeUnknown: "unknown", lifeGoesOn: "lives", lifeEnded: "ended", lifeStopped: "stopped"}

// String returns the state's name in logs.
func (l life) String() string { return lifeNames[l] }

// The figures of finding out whether a server's process has ended.
const (
	// lifeTime bounds one question: some round trips between failure domains.
	lifeTime = 100 * time.Millisecond
	// lifeTries and lifePause are for a server that takes connections and resets
	// them: as a process does whose end the kernel has not finished, for some
	// milliseconds, or one that has too many connections, for longer.
	lifeTries = 3
	lifePause = 40 * time.Millisecond
)

// crashed tells whether a send may have ended the server's process: no whole answer
// came and neither the caller nor this entry VM broke it off.
func (s *sent) crashed(ctx context.Context) bool {
	return s.err != nil && !s.overtaken && ctx.Err() == nil && s.mayHaveRun() && !cwframe.IsTimeout(s.err)
}

// examine finds out whether the server's process ended under a send that broke, and
// logs it: by the id of the request its content can be found again under others.
func (r *request) examine(s *sent) {
	f := r.front
	state := r.lifeOf(s.backend)
	print := cwquarantine.PrintOf(&r.call, r.ip)
	f.Log.Info("A request broke off.", "id", r.id, "server", s.backend.Instance, "address", s.backend.Address,
		"state", state.String(), "took", f.Clock.Now().Sub(s.at).Milliseconds(), "print", print.String())

	if state == lifeEnded {
		r.blame(s, print)
	}
}

// blame notes that a server ended under the request. Who ended by chance beside the
// one that did it is mostly answered by the next server: then nobody is told, which
// keeps the store out of it where many servers end at once.
func (r *request) blame(s *sent, print cwquarantine.Print) {
	q := r.front.Quarantine
	c := cwquarantine.Crash{
		Print: print, Server: s.backend.Instance, Start: s.backend.Start, At: r.front.Clock.Now(), VM: q.VM,
		Service: r.service, Route: r.route.Name, Request: cwquarantine.RequestOf(&r.call), Caller: r.ip,
	}

	if !q.Ended(c) {
		<-r.over

		if r.isAnswered() {
			q.Answered(print)

			return
		}
	}

	q.Share(c)
}

// isAnswered tells, once the request is over, whether a server answered it: then
// servers bear it.
func (r *request) isAnswered() bool {
	return r.err == nil && r.reply.Status < fasthttp.StatusInternalServerError
}

// quarantined returns the failure of a request under which servers ended, or nil for
// one that may be sent. Send tells that it is about to be sent: then it may be that
// of a trial.
func (r *request) quarantined(send bool) error {
	q := r.front.Quarantine
	if !q.Table.Watches(r.line()) {
		return nil
	}

	print := cwquarantine.PrintOf(&r.call, r.ip)
	d := q.Table.Decide(print, r.front.Clock.Now())

	switch {
	case !d.Held, d.Trial > 0 && !send:
		return nil
	case d.Trial > 0 && q.Try(print, d.Trial):
		r.trial = true

		return nil
	}

	r.front.counts.Add(countQuarantined, 1)

	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, d.Wait, ErrQuarantined)
}

// mayResend tells whether this entry VM sends the request to a further server by
// itself, as far as servers that ended under it go.
func (r *request) mayResend() bool {
	if r.trial {
		return false
	}

	t := r.front.Quarantine.Table

	return !t.Watches(r.line()) || t.Crashes(cwquarantine.PrintOf(&r.call, r.ip), r.front.Clock.Now()) < cwquarantine.ResendMost
}

// line returns the first part of the request's print.
func (r *request) line() cwquarantine.Digest { return cwquarantine.LineOf(&r.call) }

// end notes how the request ended: an answer ends its quarantine.
func (r *request) end() {
	close(r.over)

	if q := r.front.Quarantine; r.isAnswered() && q.Table.Watches(r.line()) {
		q.Answered(cwquarantine.PrintOf(&r.call, r.ip))
	}
}

// lifeOf returns what has become of a server.
func (r *request) lifeOf(b carobward.Backend) life {
	switch t := r.front.Servers; {
	case t.HasNewer(b):
		return lifeEnded
	case !t.Has(b):
		return lifeStopped
	}

	state := lifeUnknown

	for try := 1; try <= lifeTries && state == lifeUnknown; try++ {
		if try > 1 {
			time.Sleep(lifePause)
		}

		var again bool
		if state, again = r.callOn(b); !again {
			break
		}
	}

	return state
}

// callOn makes a health check for the sake of its connection, a new one where an idle
// one breaks, too. Again tells that a further one may show more.
func (r *request) callOn(b carobward.Backend) (state life, again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), lifeTime)
	defer cancel()

	l := &looked{}
	reply, err := r.ask(ctx, l, b, false)

	if err != nil && l.held.Used() {
		l.release()

		reply, err = r.ask(ctx, l, b, true)
	}

	l.release()

	switch {
	case err == nil && (reply.Instance == "" || reply.Instance == b.Instance):
		return lifeGoesOn, false
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		return lifeEnded, false
	default:
		return lifeUnknown, !cwframe.IsTimeout(err) && ctx.Err() == nil
	}
}
