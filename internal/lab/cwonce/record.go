package cwonce

import (
	"runtime"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
)

// recordAnswer is the body in each record that RecordCost makes.
const recordAnswer = "launch 17 charged"

// RecordCost returns the heap that a number of ticket records takes, and what
// the budget accounts for them, in bytes. Each record has a body of 17 bytes.
// Nothing else may use the heap meanwhile.
func RecordCost(records int) (heap, accounted int64, err error) {
	now := time.Now()
	budget := cwticket.NewBudget(cwticket.Options{Horizon: time.Hour, Records: records, Bytes: 1 << 40})
	table := cwticket.NewTable(cwticket.NewIssuer(cwticket.Owner{VM: "vm"}, cwticket.Secret{}, 0, now), budget)
	ticket := table.Issuer().Ticket(now)

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	for n := range records {
		ticket.Key.Number = uint64(n)

		claim, _, err := table.Start(now, ticket, cwticket.Digest{}, now.Add(time.Second))
		if claim == nil {
			return 0, 0, errors.Annotate(err, "fee")
		}

		reply := &carobward.Reply{Status: fasthttp.StatusOK, Body: []byte(recordAnswer)}
		claim.Ran(now, &cwticket.Outcome{Reply: reply, Server: "127.0.0.1:1"})
	}

	runtime.GC()
	runtime.ReadMemStats(&after)

	_, _, bytes := budget.Used()
	runtime.KeepAlive(table)

	return int64(after.HeapAlloc) - int64(before.HeapAlloc), int64(bytes), nil
}
