// Package cwonce charges fees, which must run at most once, in small models of
// entry VMs with faults: a fleet of real ticket owners in one process, and a
// simulation in virtual time of several strategies. It compares tickets with
// callers that retry after any error.
package cwonce

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

// errFault is the cause of each failure that an injected fault makes.
const errFault = errors.ConstError("fee: injected fault")

// feeURI is the path to which fees are charged.
const feeURI = "/fees"

// Fault is what happens to one message or to one request to a server.
type Fault uint8

// The faults.
const (
	NoFault   Fault = iota
	LostCall        // The call does not arrive.
	LostReply       // The call is done, but the reply is lost.
	LateCall        // The call arrives after the sender has given up.
	Shed            // A server refuses the call without running it.
	faultCount
)

// Options are the limits and the timing parameters of each ticket owner.
type Options struct {
	Limits cwticket.Options
	Params cwowner.Params
}

// FastOptions returns options with which an unresponsive owner is detected
// within milliseconds and a handover takes many parts.
func FastOptions() Options {
	return Options{
		Limits: cwticket.Options{Horizon: time.Hour, Records: 10_000, Bytes: 10 * carobward.Megabyte},
		Params: cwowner.Params{
			LongPoll:         2 * time.Millisecond,
			Grace:            8 * time.Millisecond,
			Backoff:          time.Millisecond,
			AnnounceInterval: time.Millisecond,
			PartBytes:        1 << 10,
		},
	}
}

// UnlimitedOptions returns options for measurements: the default timing, and
// limits that are never reached.
func UnlimitedOptions() Options {
	return Options{
		Limits: cwticket.Options{Horizon: time.Hour, Records: 1 << 40, Bytes: 1 << 50},
		Params: cwowner.DefaultParams(),
	}
}

// Fleet is a set of entry VMs in one process, with faults between them.
type Fleet struct {
	// Message draws the fault of one message between VMs. Request draws the
	// fault of one request to a server, given its body and the number of
	// attempts so far.
	Message func() Fault
	Request func(body string, attempt int) Fault
	// Work draws how long a run takes.
	Work func() time.Duration
	// Ran is called for each run.
	Ran func(body, ticket string, serial int)

	options    Options
	mutex      sync.Mutex
	vms        []*VM
	started    []*VM
	next       carobward.Incarnation
	failed     error
	attempts   map[string]int
	runs       map[string]int
	serial     int
	background sync.WaitGroup
}

// New starts a fleet of entry VMs without faults.
func New(size int, o Options) (*Fleet, error) {
	f := &Fleet{
		options: o, attempts: map[string]int{}, runs: map[string]int{}, vms: make([]*VM, size),
		Message: func() Fault { return NoFault },
		Request: func(string, int) Fault { return NoFault },
		Ran:     func(string, string, int) {},
		Work:    func() time.Duration { return 0 },
	}
	for i := range f.vms {
		f.Replace(i)
	}

	return f, f.failed
}

// Replace kills a VM and starts a new one at the same address. If the new one
// fails to start, Stop returns the error.
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

	o.SetParams(f.options.Params)

	v.Owner, v.service = o, cwowner.NewService(o, v)
	f.vms[i] = v
	f.started = append(f.started, v)
}

// At returns the current VM with an index.
func (f *Fleet) At(i int) *VM {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[i]
}

// Size returns the number of VMs.
func (f *Fleet) Size() int { return len(f.vms) }

// Runs returns how often a fee was charged.
func (f *Fleet) Runs(body string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.runs[body]
}

// TickAll calls Tick of each owner.
func (f *Fleet) TickAll() {
	for i := range f.vms {
		f.At(i).Owner.Tick(time.Now())
	}
}

// Stop stops all VMs that were ever started, waits for calls still in flight,
// and returns the error of a replacement that failed to start.
func (f *Fleet) Stop() error {
	for i := range f.vms {
		close(f.At(i).killed)
	}

	for _, v := range f.started {
		v.Owner.Stop()
	}

	f.background.Wait()

	return f.failed
}

// Send sends a request to a VM as a caller does. The outcome is unknown once
// the VM is killed or the timeout has passed.
func (f *Fleet) Send(i int, body, ticket string, timeout time.Duration) (*cwticket.Outcome, string, error) {
	type answer struct {
		outcome *cwticket.Outcome
		next    string
		err     error
	}

	v := f.At(i)
	done := make(chan answer, 1)
	unknown := carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, time.Millisecond, errFault)

	f.background.Add(1)

	go func() {
		defer f.background.Done()

		if v.waitRunning() != nil {
			return
		}

		c := &carobward.Call{
			Method: fasthttp.MethodPost, URI: feeURI, Body: carobward.BodyOf([]byte(body)), Deadline: time.Now().Add(time.Minute),
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
	case <-time.After(timeout):
		return nil, ticket, unknown
	}
}
