// Package cwfee charges fees, which must not repeat, in small models of entry
// VMs with faults: a fleet of real owners of tickets in one process, and a
// model in counted time of the ways that were weighed. It compares tickets
// with callers that send again after any error.
package cwfee

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
)

// errFault is the cause of each failure that a fault makes.
const errFault = errors.ConstError("fee: the fault that was asked for")

// feeURI is where fees are charged.
const feeURI = "/fees"

// Fault is what happens to one message or one request to a server.
type Fault uint8

// The faults.
const (
	Fine      Fault = iota
	LostCall        // It does not arrive.
	LostReply       // It is done, but the answer is lost.
	LateCall        // It arrives after the sender has given up.
	Shed            // A server refuses it, not run.
	faults
)

// Options are the bounds and the pace of each owner.
type Options struct {
	Limits cwticket.Options
	Pace   cwowner.Params
}

// Quick are options with which silence shows within milliseconds, and with
// which a hand-over takes many parts.
func Quick() Options {
	return Options{
		Limits: cwticket.Options{Horizon: time.Hour, Records: 10_000, Bytes: 10 * carobward.Megabyte},
		Pace: cwowner.Params{
			LongPoll:         2 * time.Millisecond,
			Grace:            8 * time.Millisecond,
			Backoff:          time.Millisecond,
			AnnounceInterval: time.Millisecond,
			PartBytes:        1 << 10,
		},
	}
}

// Roomy are options for measuring: the usual pace, and more room than is used.
func Roomy() Options {
	return Options{
		Limits: cwticket.Options{Horizon: time.Hour, Records: 1 << 40, Bytes: 1 << 50},
		Pace:   cwowner.DefaultParams(),
	}
}

// Fleet is a set of entry VMs in one process, with faults between them.
type Fleet struct {
	// Message draws the fault of one message between VMs, Request of one to
	// a server, from its body and the number of its attempts so far.
	Message func() Fault
	Request func(body string, attempt int) Fault
	// Work draws how long a run takes.
	Work func() time.Duration
	// Ran is told of each run.
	Ran func(body, ticket string, serial int)

	options  Options
	mutex    sync.Mutex
	vms      []*VM
	all      []*VM
	next     carobward.Incarnation
	failed   error
	attempts map[string]int
	runs     map[string]int
	serial   int
	late     sync.WaitGroup
}

// New starts a fleet of entry VMs, without faults.
func New(size int, o Options) (*Fleet, error) {
	f := &Fleet{
		options: o, attempts: map[string]int{}, runs: map[string]int{}, vms: make([]*VM, size),
		Message: func() Fault { return Fine },
		Request: func(string, int) Fault { return Fine },
		Ran:     func(string, string, int) {},
		Work:    func() time.Duration { return 0 },
	}
	for i := range f.vms {
		f.Replace(i)
	}

	return f, f.failed
}

// Replace starts a new run of a VM on the same address. The old one is gone.
// If the new one fails to start, Stop says why.
func (f *Fleet) Replace(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	if old := f.vms[i]; old != nil {
		close(old.killed)
	}

	f.next++
	v := &VM{fleet: f, killed: make(chan struct{})}
	v.peer = carobward.Peer{
		ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Incarnation: f.next,
		Peers: carobward.Address(fmt.Sprintf("10.0.0.%d:1", i)),
	}

	o, err := cwowner.New(f.options.Limits, v, v, carobward.SystemClock{}, logr.Discard())
	if err != nil {
		f.failed = errors.Annotate(err, "fee")

		return
	}

	o.SetParams(f.options.Pace)

	v.Owner, v.service = o, cwowner.NewService(o, v)
	f.vms[i] = v
	f.all = append(f.all, v)
}

// At returns the run of a VM that is there now.
func (f *Fleet) At(i int) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[i]
}

// Size returns how many VMs there are.
func (f *Fleet) Size() int { return len(f.vms) }

// Runs returns how often a fee was charged.
func (f *Fleet) Runs(body string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.runs[body]
}

// TickAll lets the time pass at each owner.
func (f *Fleet) TickAll() {
	for i := range f.vms {
		f.At(i).Owner.Tick(time.Now())
	}
}

// Stop ends all VMs that ever were, waits for what was late, and returns why a
// replacement failed to start.
func (f *Fleet) Stop() error {
	for i := range f.vms {
		close(f.At(i).killed)
	}

	for _, v := range f.all {
		v.Owner.Stop()
	}

	f.late.Wait()

	return f.failed
}

// Send sends a request to a VM as a caller does. Once the VM is gone, or the
// caller's patience, the outcome is unknown.
func (f *Fleet) Send(i int, body, ticket string, patience time.Duration) (*cwticket.Outcome, string, error) {
	type answer struct {
		outcome *cwticket.Outcome
		next    string
		err     error
	}

	v := f.At(i)
	done := make(chan answer, 1)
	unknown := carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, time.Millisecond, errFault)

	f.late.Add(1)

	go func() {
		defer f.late.Done()

		if v.pass() != nil {
			return
		}

		c := &carobward.Call{
			Method: fasthttp.MethodPost, URI: feeURI, Body: []byte(body), Deadline: time.Now().Add(time.Minute),
			Header: carobward.Header{{Name: carobward.HeaderTicket, Value: ticket}},
		}
		work := func(ctx context.Context) (*cwticket.Outcome, error) { return v.RunOnce(ctx, "", c) }
		outcome, next, err := v.Owner.Do(context.Background(), ticket, "", c, work)
		done <- answer{outcome, next, err}
	}()

	select {
	case a := <-done:
		return a.outcome, a.next, a.err
	case <-v.killed:
		return nil, ticket, unknown
	case <-time.After(patience):
		return nil, ticket, unknown
	}
}
