package cwnode

import (
	"context"
	"expvar"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// newOwner makes the owner of this entry VM's tickets.
func (n *Node) newOwner() error {
	o := &n.settings.Once
	limits := cwticket.Options{Horizon: o.Horizon.Std(), Records: o.Records, Bytes: o.Bytes}

	var err error

	n.owner, err = cwowner.New(limits, n.peers, n.clients, n.clock, n.log)
	if err != nil {
		return errors.Annotate(err, "node")
	}

	n.publishTickets()

	return nil
}

// ticketUse is what the tickets hold of their room, as a metric.
type ticketUse struct {
	// Records is the number of outcomes, Closed that of tickets that were
	// closed without having run.
	Records int `json:"records"`
	Closed  int `json:"closed"`
	// Bytes is the memory of the outcomes.
	Bytes int64 `json:"bytes"`
}

// tickets has the use of each entry VM in this process, by its id.
var tickets = expvar.NewMap("tickets")

// publishTickets shows what the tickets hold among the metrics.
func (n *Node) publishTickets() {
	tickets.Set(string(n.settings.VM), expvar.Func(func() any {
		records, closed, bytes := n.owner.Used()

		return ticketUse{Records: records, Closed: closed, Bytes: int64(bytes)}
	}))
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
