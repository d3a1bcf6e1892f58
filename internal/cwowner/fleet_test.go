package cwowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

var (
	testLimits = cwticket.Options{Horizon: time.Hour, Records: 10_000, Bytes: 10 * carobward.Megabyte}
	testPace   = pace{hold: 2 * time.Millisecond, grace: 8 * time.Millisecond, quiet: time.Millisecond, tell: time.Millisecond, part: 1 << 10}
	errFault   = errors.ConstError("test: the fault that was asked for")
)

// fault is what happens to one message or one request to a server.
type fault uint8

const (
	fine      fault = iota
	lostCall        // It does not arrive.
	lostReply       // It is done, but the answer is lost.
	lateCall        // It arrives after the sender has given up.
	shed            // A server refuses it, not run.
	faults
)

// vm is one run of an entry VM.
type vm struct {
	fleet   *fleet
	peer    carobward.Peer
	owner   *Owner
	service *Service
	killed  chan struct{}
	frozen  atomic.Pointer[chan struct{}]
}

// pass blocks while the VM is frozen and fails once it has been killed.
func (v *vm) pass() error {
	if c := v.frozen.Load(); c != nil {
		select {
		case <-*c:
		case <-v.killed:
		}
	}

	select {
	case <-v.killed:
		return errFault
	default:
		return nil
	}
}

// freeze stops the VM until the returned function is called.
func (v *vm) freeze() func() {
	c := make(chan struct{})
	if !v.frozen.CompareAndSwap(nil, &c) {
		return func() {}
	}

	return func() {
		v.frozen.Store(nil)
		close(c)
	}
}

// fleet is a set of entry VMs in one process, with faults between them.
type fleet struct {
	t     interface{ Fatal(args ...any) }
	mutex sync.Mutex
	vms   []*vm
	all   []*vm
	next  carobward.Incarnation
	// message draws the fault of one message between VMs, request of one to
	// a server, from its body and the number of its attempts so far.
	message func() fault
	request func(body string, attempt int) fault
	// work draws how long a run takes.
	work func() time.Duration
	// ran is told of each run.
	ran      func(body, ticket string, serial int)
	attempts map[string]int
	runs     map[string]int
	serial   int
	late     sync.WaitGroup
}

func newFleet(t interface{ Fatal(args ...any) }, size int) *fleet {
	f := &fleet{
		t: t, attempts: map[string]int{}, runs: map[string]int{}, vms: make([]*vm, size),
		message: func() fault { return fine },
		request: func(string, int) fault { return fine },
		ran:     func(string, string, int) {},
		work:    func() time.Duration { return 0 },
	}
	for i := range f.vms {
		f.replace(i)
	}

	return f
}

// replace starts a new run of a VM on the same address. The old one is gone.
func (f *fleet) replace(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	if old := f.vms[i]; old != nil {
		close(old.killed)
	}

	f.next++
	v := &vm{fleet: f, killed: make(chan struct{})}
	v.peer = carobward.Peer{
		ID: carobward.VMID(fmt.Sprintf("vm-%d", i)), Incarnation: f.next,
		Peers: carobward.Address(fmt.Sprintf("10.0.0.%d:1", i)),
	}

	o, err := New(testLimits, v, v, carobward.SystemClock{}, logr.Discard())
	if err != nil {
		f.t.Fatal(err)
	}

	o.pace = testPace
	v.owner, v.service = o, &Service{owner: o, runner: v}
	f.vms[i] = v
	f.all = append(f.all, v)
}

func (f *fleet) at(i int) *vm {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.vms[i]
}

// stop ends all VMs that ever were and waits for what was late.
func (f *fleet) stop() {
	for i := range f.vms {
		close(f.at(i).killed)
	}

	for _, v := range f.all {
		v.owner.Stop()
	}

	f.late.Wait()
}

// Self is the Peers of the owner.
func (v *vm) Self() carobward.Peer { return v.peer }

// All is the Peers of the owner.
func (v *vm) All() []carobward.Peer {
	v.fleet.mutex.Lock()
	defer v.fleet.mutex.Unlock()

	var all []carobward.Peer

	for _, o := range v.fleet.vms {
		if o != nil {
			all = append(all, o.peer)
		}
	}

	return all
}

// Call is the Caller of the owner: messages to the peers, with their faults.
func (v *vm) Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	var peer *vm

	for i := range v.fleet.vms {
		if o := v.fleet.at(i); o.peer.Peers == to {
			peer = o
		}
	}

	kind := v.fleet.message()
	if kind == lostCall {
		return errFault
	}

	done := make(chan error, 1)
	reply := out.ProtoReflect().New().Interface()

	v.fleet.late.Add(1)

	go func() {
		defer v.fleet.late.Done()

		if kind == lateCall {
			<-ctx.Done()
		}

		if err := peer.pass(); err != nil {
			done <- err

			return
		}

		peer.dispatch(method, proto.Clone(in), reply)
		done <- nil
	}()

	select {
	case err := <-done:
		if err == nil && kind == lostReply {
			err = errFault
		}

		if err == nil {
			proto.Merge(out, reply)
		}

		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *vm) dispatch(method string, in, out proto.Message) {
	switch method {
	case "Owner.Carry":
		_ = v.service.Carry(in.(*cwwire.OnceCall), out.(*cwwire.OnceAnswer))
	case "Owner.Result":
		_ = v.service.Result(in.(*cwwire.OnceQuery), out.(*cwwire.OnceAnswer))
	case "Owner.Take":
		_ = v.service.Take(in.(*cwwire.Estate), out.(*cwwire.Taken))
	case "Owner.Moved":
		_ = v.service.Moved(in.(*cwwire.Moved), out.(*cwwire.Noted))
	}
}

// RunOnce sends a call to the server, whose only failure after which it is
// sent again is a proved not-run.
func (v *vm) RunOnce(_ context.Context, _ carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error) {
	for range 2 {
		answer, err := v.exchange(c)
		if err == nil || carobward.VerdictOf(err) != carobward.NotRun {
			return answer, err
		}
	}

	return nil, carobward.NewFailure(carobward.NotRun, 503, time.Millisecond, errFault)
}

// exchange sends a call to the server once.
func (v *vm) exchange(c *carobward.Call) (*cwticket.Outcome, error) {
	unknown := carobward.NewFailure(carobward.Unknown, 502, time.Millisecond, errFault)
	if v.pass() != nil {
		return nil, unknown
	}

	f, body := v.fleet, string(c.Body)

	f.mutex.Lock()
	f.attempts[body]++
	kind := f.request(body, f.attempts[body])
	f.mutex.Unlock()

	switch kind {
	case lostCall:
		return nil, unknown
	case shed:
		return nil, carobward.NewFailure(carobward.NotRun, 503, 0, errFault)
	default:
	}

	f.mutex.Lock()
	f.runs[body]++
	f.serial++
	serial := f.serial
	f.mutex.Unlock()

	f.ran(body, c.Header.Get(carobward.HeaderTicket), serial)

	if pause := f.work(); pause > 0 {
		<-time.After(pause)
	}

	if kind == lostReply || kind == lateCall || v.pass() != nil {
		return nil, unknown
	}

	return &cwticket.Outcome{Reply: &carobward.Reply{Status: serial}}, nil
}

// send sends a request to a VM as a caller does. Once the VM is gone, or the
// caller's patience, the outcome is unknown.
func (f *fleet) send(i int, body, ticket string, patience time.Duration) (*cwticket.Outcome, string, error) {
	type answer struct {
		outcome *cwticket.Outcome
		next    string
		err     error
	}

	v := f.at(i)
	done := make(chan answer, 1)
	unknown := carobward.NewFailure(carobward.Unknown, 502, time.Millisecond, errFault)

	f.late.Add(1)

	go func() {
		defer f.late.Done()

		if v.pass() != nil {
			return
		}

		c := &carobward.Call{
			Method: "POST", URI: "/fees", Body: []byte(body), Deadline: time.Now().Add(time.Minute),
			Header: carobward.Header{{Name: carobward.HeaderTicket, Value: ticket}},
		}
		work := func(ctx context.Context) (*cwticket.Outcome, error) { return v.RunOnce(ctx, "", c) }
		outcome, next, err := v.owner.Do(context.Background(), ticket, "", c, work)
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
