package cwnode

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// newOwner creates the owner of this entry VM's tickets.
func (n *Node) newOwner(log logr.Logger) error {
	o := &n.settings.Once
	limits := cwticket.Options{Horizon: o.Horizon.Std(), Records: o.Records, Bytes: o.Bytes}

	var err error

	n.owner, err = cwowner.New(limits, n.peers, n.ownerCalls(), n.clock, log)
	if err != nil {
		return errors.Annotate(err, "node")
	}

	n.publishTickets()

	return nil
}

// publishTickets registers metrics of the stored tickets: recorded outcomes,
// tickets that were closed without having run, and the bytes of the outcomes.
func (n *Node) publishTickets() {
	const part = "tickets"

	n.metrics.Gauge(part, "records", func() int64 { records, _, _ := n.owner.Used(); return int64(records) })
	n.metrics.Gauge(part, "closed", func() int64 { _, closed, _ := n.owner.Used(); return int64(closed) })
	n.metrics.Gauge(part, "bytes", func() int64 { _, _, bytes := n.owner.Used(); return int64(bytes) })
}

// handOverShare sets the time for the handover: 1/handOverShare of the part of the
// stop timeout that remains once callers no longer use earlier lookup replies.
const handOverShare = 4

// handOverTime returns the time that is reserved for the handover.
func (n *Node) handOverTime() time.Duration {
	return (n.settings.Stop - n.settings.Keep).Std() / handOverShare
}

// handOver sends the outcomes of the tickets to another entry VM before end, so
// that callers can still query them.
func (n *Node) handOver(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	if err := n.owner.HandOver(ctx); err != nil {
		n.log.Info("Outcomes of run-once work are lost.", "cause", err.Error())
	}
}
