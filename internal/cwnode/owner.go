package cwnode

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// newOwner makes the owner of this entry VM's tickets.
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

// publishTickets shows what the tickets hold of their room: outcomes, tickets
// that were closed without having run, and the bytes of the outcomes.
func (n *Node) publishTickets() {
	const part = "tickets"

	n.metrics.Gauge(part, "records", func() int64 { records, _, _ := n.owner.Used(); return int64(records) })
	n.metrics.Gauge(part, "closed", func() int64 { _, closed, _ := n.owner.Used(); return int64(closed) })
	n.metrics.Gauge(part, "bytes", func() int64 { _, _, bytes := n.owner.Used(); return int64(bytes) })
}

// handOverShare of the time after the callers' answers have run out is kept
// for handing over: one in so many parts.
const handOverShare = 4

// handOverTime returns the time that is kept for handing over.
func (n *Node) handOverTime() time.Duration {
	return (n.settings.Stop - n.settings.Keep).Std() / handOverShare
}

// handOver gives what became of the tickets to another entry VM until the
// end, so that callers can still ask for it.
func (n *Node) handOver(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()

	if err := n.owner.HandOver(ctx); err != nil {
		n.log.Info("Outcomes of run-once work are lost.", "cause", err.Error())
	}
}
