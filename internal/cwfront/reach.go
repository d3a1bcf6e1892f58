package cwfront

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwrank"
	"carobward.example/carobward/internal/cwreach"
)

// Losses returns the services of which this entry VM reaches no server.
func (f *Front) Losses() []cwreach.Loss { return f.reach.Losses() }

// Claims returns the services of which the other entry VMs are told that this one reaches no
// server.
func (f *Front) Claims(now time.Time) []carobward.Service { return f.reach.Claims(now) }

// serverAnswered records that a server of a service answered this entry VM.
func (f *Front) serverAnswered(s carobward.Service) {
	now := f.Clock.Now()

	if loss, ended := f.reach.Answered(s, now); ended {
		f.Servers.Unblock(s)
		f.Log.Info("A server of the service is reached again.", "service", s, "lost", now.Sub(loss.Since).Milliseconds(), "failed", loss.Servers)
	}
}

// serverFailed records that a server of a service did not answer a health check that began at
// a time.
func (f *Front) serverFailed(s carobward.Service, b carobward.Backend, began time.Time) {
	now, known := f.Clock.Now(), f.Servers.CountOf(s)
	if f.pausedSince(began, now) {
		return
	}

	if loss, begun := f.reach.Failed(s, b.Instance, began, known); begun {
		f.Log.Info("No server of the service is reached.", "service", s, "since", now.Sub(loss.Since).Milliseconds(),
			"failed", loss.Servers, "servers", known)
	}
}

// noteNewConn records whether a new connection to a server of a service carried its first exchange,
// which ended with an error or nil. Held is nil if there was no connection. A timeout, or that this
// entry VM closed the connection meanwhile, says nothing: the server may be slow.
func (f *Front) noteNewConn(s carobward.Service, b carobward.Backend, held *cwlink.HeldConn, err error) {
	if held == nil || held.Reused() {
		return
	}

	switch known := f.Servers.CountOf(s); {
	case err == nil && f.reach.NewConnAnswered(s, f.Clock.Now()):
		f.Log.Info("New connections to servers of the service are answered again.", "service", s, "server", b.Instance)
	case err != nil && !cwframe.IsTimeout(err) && !errors.Is(err, net.ErrClosed) && f.reach.NewConnBroke(s, b.Instance, known):
		f.Log.Info("New connections to servers of the service break.", "service", s, "server", b.Instance, "servers", known, "cause", err.Error())
	}
}

// probeLost makes health checks of some servers of each service that is not reached, so that a
// path that is back is found without a request that waits for it.
func (f *Front) probeLost(now time.Time) {
	routes := f.routes.Load()
	if routes == nil {
		return
	}

	for _, s := range f.reach.Probes(now) {
		path := routes.Service(s).HealthPath
		if path == "" || f.Servers.CountOf(s) == 0 {
			f.reach.Forget(s)

			continue
		}

		checks := f.serviceState(s).checks

		for i, server := range f.probed(s, now) {
			if !checks.AllowN(now, 1) {
				break
			}

			// An open connection may be dead although the path is back, or live on while new
			// ones are refused.
			fresh := i%2 == 0

			f.work.Go(func() { f.probe(s, path, server, fresh) })
		}
	}
}

// probed returns the servers of a service to probe: at random, those that have not failed since
// it was last reached first.
func (f *Front) probed(s carobward.Service, now time.Time) []*cwbackend.Server {
	var list []*cwbackend.Server
	for _, v := range f.Servers.Views(s, now, 0) {
		list = append(list, v.Server)
	}

	cwpick.Global{}.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *cwbackend.Server) int {
		return cwrank.CompareBool(f.reach.HasFailed(s, a.Backend().Instance), f.reach.HasFailed(s, b.Backend().Instance))
	})

	return list[:min(cwpick.SampleSize, len(list))]
}

// probe makes one health check that is for no request.
func (f *Front) probe(s carobward.Service, path string, server *cwbackend.Server, fresh bool) {
	ctx, cancel := context.WithTimeout(context.Background(), maxCheckTime)
	defer cancel()

	b, began := server.Backend(), f.Clock.Now()
	f.counts.Add(countHealthChecks, 1)

	held, reply, err := f.sendCheck(ctx, path, b.Address, fresh)
	if held != nil {
		defer held.Release()
	}

	f.noteNewConn(s, b, held, err)

	switch {
	case errors.Is(err, cwlink.ErrConnsInUse):
		return
	case err != nil:
		f.serverFailed(s, b, began)

		return
	}

	f.serverAnswered(s)

	if reply.Instance == "" || reply.Instance == b.Instance {
		f.recordNotices("", server, reply, cwbackend.ByHealthCheck)
	}
}

// pausedSince reports whether this process was paused since a time. A contact that was not
// answered in time meanwhile says nothing about the path.
func (f *Front) pausedSince(t, now time.Time) bool {
	return f.RunningAge != nil && f.RunningAge(t, now) < now.Sub(t)
}

// noteAnswer records the answer of a server to this request or to a health check for it.
func (r *request) noteAnswer(s *cwbackend.Server) { r.front.serverAnswered(s.Backend().Service) }

// unreached reports whether the request may lack a path, which says nothing about the room at
// servers: none answers, or no health check may be made and no connection is known to work.
func (r *request) unreached() bool { return r.connUnproven || r.unanswered() }

// unanswered reports whether health checks for the request were made, or others before it, and no
// server answered any.
func (r *request) unanswered() bool {
	c := &r.checkCounts

	return r.front.reach.Lost(r.service) || r.checks > 0 && c.answered == 0 && c.failed+c.late > 0
}

// noServerFound returns the cause of the refusal of a request that found no server in time.
func (r *request) noServerFound() error {
	switch {
	case r.unanswered():
		r.front.counts.Add(countUnreached, 1)

		return ErrUnreached
	case r.connUnproven:
		return ErrUnchecked
	default:
		return ErrNoRoom
	}
}
