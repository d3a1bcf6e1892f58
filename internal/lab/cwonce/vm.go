package cwonce

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// VM is one incarnation of an entry VM.
type VM struct {
	// Owner is the ticket owner under test.
	Owner *cwowner.Owner

	fleet   *Fleet
	peer    carobward.Peer
	service *cwowner.Service
	killed  chan struct{}
	paused  atomic.Pointer[chan struct{}]
}

// waitRunning blocks while the VM is paused and fails once it has been killed.
func (v *VM) waitRunning() error {
	if c := v.paused.Load(); c != nil {
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

// Pause pauses the VM until the returned function is called.
func (v *VM) Pause() func() {
	c := make(chan struct{})
	if !v.paused.CompareAndSwap(nil, &c) {
		return func() {}
	}

	return func() {
		v.paused.Store(nil)
		close(c)
	}
}

// Self implements carobward.Peers.
func (v *VM) Self() carobward.Peer { return v.peer }

// All implements carobward.Peers.
func (v *VM) All() []carobward.Peer {
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

// Call sends a message of the owner to a peer, subject to faults.
func (v *VM) Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error {
	var peer *VM

	for i := range v.fleet.vms {
		if o := v.fleet.At(i); o.peer.Peers == to {
			peer = o
		}
	}

	kind := v.fleet.Message()
	if kind == LostCall {
		return errFault
	}

	done := make(chan error, 1)
	reply := out.ProtoReflect().New().Interface()

	v.fleet.background.Add(1)

	go func() {
		defer v.fleet.background.Done()

		if kind == LateCall {
			<-ctx.Done()
		}

		if err := peer.waitRunning(); err != nil {
			done <- err

			return
		}

		peer.dispatch(method, proto.Clone(in), reply)
		done <- nil
	}()

	select {
	case err := <-done:
		if err == nil && kind == LostReply {
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

// dispatch calls the method as net/rpc would. The methods of this service never
// fail.
func (v *VM) dispatch(method string, in, out proto.Message) {
	switch method {
	case "Owner.Carry":
		_ = v.service.Carry(in.(*cwwire.OnceCall), out.(*cwwire.OnceAnswer))
	case "Owner.Result":
		_ = v.service.Result(in.(*cwwire.OnceQuery), out.(*cwwire.OnceAnswer))
	case "Owner.Take":
		_ = v.service.Take(in.(*cwwire.Handover), out.(*cwwire.Taken))
	case "Owner.Moved":
		_ = v.service.Moved(in.(*cwwire.Moved), out.(*cwwire.Noted))
	}
}

// RunOnce sends a call to the server, and a second time only if the first is
// proved not to have run.
func (v *VM) RunOnce(_ context.Context, _ carobward.RequestID, c *carobward.Call) (*cwticket.Outcome, error) {
	for range 2 {
		answer, err := v.Exchange(c)
		if err == nil || carobward.VerdictOf(err) != carobward.NotRun {
			return answer, err
		}
	}

	return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, time.Millisecond, errFault)
}

// Exchange sends a call to the server once.
func (v *VM) Exchange(c *carobward.Call) (*cwticket.Outcome, error) {
	unknown := carobward.NewFailure(carobward.Unknown, fasthttp.StatusBadGateway, time.Millisecond, errFault)
	if v.waitRunning() != nil {
		return nil, unknown
	}

	f, body := v.fleet, string(c.Body.Bytes())

	f.mutex.Lock()
	f.attempts[body]++
	kind := f.Request(body, f.attempts[body])
	f.mutex.Unlock()

	switch kind {
	case LostCall:
		return nil, unknown
	case Shed:
		return nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, 0, errFault)
	default:
	}

	f.mutex.Lock()
	f.runs[body]++
	f.serial++
	serial := f.serial
	f.mutex.Unlock()

	f.Ran(body, c.Header.Get(carobward.HeaderTicket), serial)

	if pause := f.Work(); pause > 0 {
		<-time.After(pause)
	}

	if kind == LostReply || kind == LateCall || v.waitRunning() != nil {
		return nil, unknown
	}

	return &cwticket.Outcome{Reply: &carobward.Reply{Status: serial}}, nil
}
