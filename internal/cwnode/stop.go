package cwnode

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwstop"
)

// Times of the steps of a graceful stop, see docs/design/stop.md.
const (
	// announceTimeout limits the wait until all peers have confirmed that this
	// VM is leaving, so that a paused peer doesn't delay the stop further.
	announceTimeout = 2 * time.Second
	// keepMargin is the time that a lookup reply may be in transit.
	keepMargin = 500 * time.Millisecond
	// idleCloseTimeout limits the wait for callers to close their idle
	// connections. Some HTTP clients keep an idle connection for 10 s and don't
	// notice that the server has closed it. Their next request to this
	// address, where a later run of the VM may listen by then, would be lost.
	idleCloseTimeout = 11 * time.Second
	// abortTimeout is the part of the stop timeout that is reserved for
	// replies to aborted requests.
	abortTimeout = 500 * time.Millisecond
	// closeTimeout limits the shutdown of each of the other listeners.
	closeTimeout = time.Second
	// replyTime is reserved for the last replies of servers to reach the callers.
	replyTime    = 200 * time.Millisecond
	pollInterval = 10 * time.Millisecond
)

// Errors of Run.
const (
	ErrStopTimeout = errors.ConstError("node: the stop timeout expired, requests in flight were answered with the verdict unknown")
	ErrReplaced    = errors.ConstError("node: a later run of this VM has replaced this one")
)

// awaitStop returns nil once ctx is done, ErrReplaced once a later run of this VM is known, or the error of a
// listener that has ended.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.member.Replaced():
		return ErrReplaced
	case err := <-n.failed:
		return err
	}
}

// leave stops gracefully within the stop timeout. It announces to the peers that
// this VM is leaving, serves for as long as callers keep earlier lookup replies,
// refuses new connections, finishes requests in flight, and hands over the
// outcomes of run-once work.
func (n *Node) leave(cause error) error {
	end := n.clock.Now().Add(n.settings.Stop.Std())
	n.log.Info("Leaving.", "keep", n.settings.Keep.Std().String(), "stop", n.settings.Stop.Std().String())

	serve, cancel := context.WithDeadline(context.Background(), end.Add(-n.handOverTime()-abortTimeout))
	defer cancel()

	n.forwarder.Leave(n.stopPlan(end))
	n.announce(serve)
	n.data.CloseAfterReply()
	carobward.Sleep(serve, cwlookup.KeepTime(n.settings.Keep.Std())+keepMargin)
	n.await(serve, idleCloseTimeout, func() bool { return n.data.GetOpenConnectionsCount() == 0 })
	n.log.Info("New connections are refused.", "running", n.forwarder.Running())

	if err := n.data.ShutdownWithContext(serve); err != nil {
		cause = stderrors.Join(cause, n.giveUp())
	}

	n.await(context.Background(), end.Add(-n.handOverTime()).Sub(n.clock.Now()), n.isDelivered)
	n.handOver(end)

	return cause
}

// stopPlan returns until when requests are still sent to servers in a stop that ends at a time.
func (n *Node) stopPlan(end time.Time) cwstop.Plan {
	serve := end.Add(-n.handOverTime() - abortTimeout)

	return cwstop.Plan{Accept: serve, Work: serve.Add(-replyTime), End: serve}
}

// announce makes sure that every peer knows that this VM is leaving, so that no
// further lookup reply includes it.
func (n *Node) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	if missing := n.member.Leave(ctx); missing > 0 {
		n.log.Info("Not all entry VMs have confirmed that this one is leaving.", "missing", missing)
	}
}

// giveUp aborts the requests that are in flight when the stop timeout expires and
// waits for their replies.
func (n *Node) giveUp() error {
	running := n.forwarder.Running()
	n.log.Info("Requests in flight are given up at the bound.", "running", running)
	n.forwarder.Abort()
	// The library counts the listener as an open connection, and it is closed by
	// now. So the count is below zero once no connection is open.
	n.await(context.Background(), abortTimeout, func() bool { return n.data.GetOpenConnectionsCount() < 0 })

	if running == 0 {
		return nil // Only connections without a request were open.
	}

	return ErrStopTimeout
}

// isDelivered reports whether the other sides have all that was written to connections that are closing.
func (n *Node) isDelivered() bool { return n.closer.Counts().Owing == 0 }

// await waits until ok returns true, the timeout expires or ctx is done.
func (n *Node) await(ctx context.Context, timeout time.Duration, ok func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	for ctx.Err() == nil && !ok() {
		carobward.Sleep(ctx, pollInterval)
	}
}
