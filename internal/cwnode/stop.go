package cwnode

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
)

// The steps of a graceful stop, see docs/design/stop.md.
const (
	// announceMost bounds the wait until all peers have confirmed that they
	// know. One that is frozen does not hold the stop up for longer.
	announceMost = 2 * time.Second
	// keepMargin is the time that an address answer may be on its way.
	keepMargin = 500 * time.Millisecond
	// partMost bounds the wait for callers to close their idle connections.
	// Some HTTP clients keep one for 10 s and do not notice that we closed
	// it: their next request, to our successor, would be lost.
	partMost = 11 * time.Second
	// abortMost is what is kept of the bound to answer requests that are
	// given up.
	abortMost = 500 * time.Millisecond
	// closeMost bounds the end of the other listeners.
	closeMost = time.Second
	stopPoll  = 10 * time.Millisecond
)

// The errors of a stop.
const (
	ErrBound    = errors.ConstError("node: requests in flight at the bound were answered unknown")
	ErrReplaced = errors.ConstError("node: a later run of this VM has taken its place")
)

// awaitStop returns at the end of ctx with nil, or with ErrReplaced.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.member.Replaced():
		return ErrReplaced
	}
}

// leave stops gracefully within the bound: it tells the peers, serves for as
// long as callers keep old answers, refuses new connections, finishes what is
// in flight, and hands over the outcomes of run-once work.
func (n *Node) leave(cause error) error {
	end := n.clock.Now().Add(n.settings.Stop.Std())
	n.log.Info("Leaving.", "keep", n.settings.Keep.Std().String(), "stop", n.settings.Stop.Std().String())

	serve, cancel := context.WithDeadline(context.Background(), end.Add(-n.handOverTime()-abortMost))
	defer cancel()

	n.announce(serve)
	n.data.Part()
	carobward.Sleep(serve, cwlookup.Kept(n.settings.Keep.Std())+keepMargin)
	n.await(serve, partMost, func() bool { return n.data.GetOpenConnectionsCount() == 0 })
	n.log.Info("No new connections are taken.", "running", n.carrier.Running())

	if err := n.data.ShutdownWithContext(serve); err != nil {
		cause = stderrors.Join(cause, n.giveUp())
	}

	n.handOver(end)

	return cause
}

// announce has every peer know that this VM leaves, so that no address answer
// names it any more.
func (n *Node) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceMost)
	defer cancel()

	if left := n.member.Leave(ctx); left > 0 {
		n.log.Info("Not all entry VMs have confirmed that this one leaves.", "missing", left)
	}
}

// giveUp answers what is still in flight at the bound.
func (n *Node) giveUp() error {
	running := n.carrier.Running()
	n.log.Info("Requests in flight are given up at the bound.", "running", running)
	n.carrier.Abort()
	// The library counts its listener as one, which is closed by now.
	n.await(context.Background(), abortMost, func() bool { return n.data.GetOpenConnectionsCount() < 0 })

	if running == 0 {
		return nil // Only connections without a request were open.
	}

	return ErrBound
}

// await waits until ok, at most for a time or until ctx ends.
func (n *Node) await(ctx context.Context, most time.Duration, ok func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()

	for ctx.Err() == nil && !ok() {
		carobward.Sleep(ctx, stopPoll)
	}
}
