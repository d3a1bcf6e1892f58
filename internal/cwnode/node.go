// Package cwnode assembles the components of an entry VM and runs them.
package cwnode

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwaccept"
	"carobward.example/carobward/internal/cwclose"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwentry"
	"carobward.example/carobward/internal/cwkv"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwlookup"
	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwoperator"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwsettings"
	"carobward.example/carobward/internal/cwtrace"
	"carobward.example/carobward/internal/cwvmlist"
)

// Node is one entry VM.
type Node struct {
	settings cwsettings.Settings
	clock    carobward.Clock
	log      logr.Logger

	store         carobward.Store
	list          carobward.VMList
	servers       *cwserver.Table
	peers         *cwpeer.Table
	clients       *cwpeer.Clients
	server        *cwpeer.Server
	member        *cwmember.Service
	announcements *cwdrain.System
	measure       measure
	holder        *cwconfig.Holder
	syncer        *cwconfig.Syncer
	link          *cwlink.Link
	owner         *cwowner.Owner
	forwarder     *cwentry.Forwarder
	metrics       *cwmetric.Set
	tracer        *cwtrace.Tracer
	// lastPrune is when metrics of deleted targets were last removed.
	lastPrune time.Time

	widths *cwlookup.Widths

	data      *cwentry.Server
	lookup    *fiber.App
	operators *fiber.App
	listeners listeners
	// unaccepted counts the errors of listeners that were waited out. Failed gets the error of one
	// that has ended.
	unaccepted atomic.Int64
	failed     chan error
	// closer closes the connections that the listeners have accepted.
	closer *cwclose.Closer
	done   chan struct{}
}

// listeners are the open sockets.
type listeners struct {
	callers, lookup, peers, operators net.Listener
	datagrams                         net.PacketConn
}

// maxClosing bounds the connections that are closing, of all listeners together.
const maxClosing = 256

// New opens the listeners and assembles the components. Run starts them.
func New(s cwsettings.Settings, clock carobward.Clock, log logr.Logger) (*Node, error) {
	n := &Node{
		settings: s,
		clock:    clock,
		log:      log.WithName("node"),
		list:     cwvmlist.New(s.List.URL),
		servers:  cwserver.NewTable(),
		holder:   cwconfig.NewHolder(),
		metrics:  cwmetric.New(),
		done:     make(chan struct{}),
		failed:   make(chan error, 1),
		closer:   cwclose.New(cwclose.Options{MaxConns: maxClosing, Log: log}),
	}

	n.store = cwkv.New(s.Store.URL, s.Store.Prefix, s.Store.Timeout.Std(), n.metrics.Part("store"))

	key, err := cwsettings.ReadKey(s.Keys.Operators)
	if err != nil {
		return nil, err
	}

	if err := n.listen(); err != nil {
		return nil, err
	}

	n.tracer, err = cwtrace.New(s.Trace, s.VM, s.Domain, os.Stdout, log)
	if err != nil {
		return nil, err
	}

	if err := n.openPeers(log); err != nil {
		return nil, err
	}

	if err := n.openAnnouncements(log); err != nil {
		return nil, err
	}

	n.openMeasure(log)

	if err := n.newOwner(log); err != nil {
		return nil, err
	}

	if err := n.configure(log); err != nil {
		return nil, err
	}

	n.link = newLink(&s.Link, clock)
	n.forwarder = cwentry.New(n.forwarderOptions(), n.holder, n.servers, n.link, n.owner, clock, log)
	n.publish()
	n.data = n.dataServer()
	n.widths = cwlookup.NewWidths(n.peers, s.Route.Rate, s.Keep.Std())
	n.lookup = cwlookup.Handler(n.peers, s.Keep.Std(), n.owner, n.widths)
	n.operators = cwoperator.New(key, n.holder, cwconfig.NewWriter(n.store, n.holder), n.peers, n.syncer, n.metrics).WithDrains(n.announcements, n.servers).Handler()

	return n, n.owner.Register(n.server, n.forwarder)
}

// Done is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.done }

// Self returns this entry VM with the addresses that it listens on.
func (n *Node) Self() carobward.Peer { return n.peers.Self() }

func (n *Node) self() carobward.Peer {
	return carobward.Peer{
		ID:          n.settings.VM,
		Incarnation: carobward.Incarnation(n.clock.Now().UnixNano()),
		Domain:      n.settings.Domain,
		Callers:     address(n.listeners.callers),
		Lookup:      address(n.listeners.lookup),
		Peers:       address(n.listeners.peers),
		Operators:   address(n.listeners.operators),
	}
}

func address(l net.Listener) carobward.Address { return carobward.Address(l.Addr().String()) }

func (n *Node) listen() error {
	l := &n.settings.Listen

	for _, s := range []struct {
		name     string
		addr     carobward.Address
		listener *net.Listener
	}{
		{"callers", l.Callers, &n.listeners.callers},
		{"lookup", l.Lookup, &n.listeners.lookup},
		{"peers", l.Peers, &n.listeners.peers},
		{"operators", l.Operators, &n.listeners.operators},
	} {
		opened, err := net.Listen("tcp", string(s.addr))
		if err != nil {
			return errors.Annotate(err, "node")
		}

		*s.listener = n.closer.Listen(cwaccept.New(opened, s.name, &n.unaccepted, n.log))
	}

	var err error

	n.listeners.datagrams, err = net.ListenPacket("udp", string(address(n.listeners.peers)))

	return errors.Annotate(err, "node")
}

// Run serves requests until ctx is done, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)

	work, stop := context.WithCancel(context.WithoutCancel(ctx))

	var group conc.WaitGroup

	n.log.Info("Serving.", "vm", n.settings.VM, "callers", n.Self().Callers, "lookup", n.Self().Lookup,
		"peers", n.Self().Peers, "operators", n.Self().Operators)
	group.Go(func() { n.syncer.Run(work) })
	group.Go(func() { n.tick(work) })
	group.Go(func() { n.member.Run(work) })
	group.Go(func() { n.announcements.Run(work) })
	group.Go(func() { n.measure.prober.Run(work) })
	group.Go(func() { n.tickAccount(work) })
	group.Go(func() { n.logServeError("callers", n.data.Serve(n.listeners.callers)) })
	group.Go(func() { n.logServeError("lookup", n.lookup.Listener(n.listeners.lookup)) })
	group.Go(func() { n.logServeError("peers", n.server.Serve(n.listeners.peers)) })
	group.Go(func() { n.logServeError("operators", n.operators.Listener(n.listeners.operators)) })

	err := n.leave(n.awaitStop(ctx))
	n.link.Close()

	stop()
	n.owner.Stop()
	<-n.member.Done()
	<-n.announcements.Done()
	<-n.measure.prober.Done()
	n.closePeers()
	_ = n.lookup.ShutdownWithTimeout(closeTimeout)
	_ = n.operators.ShutdownWithTimeout(closeTimeout)
	group.Wait()
	n.await(context.Background(), closeTimeout, n.isDelivered)
	n.closer.Close()
	n.closeTracer()
	n.log.Info("Stopped.")

	return err
}

func (n *Node) logServeError(listener string, err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Error(err, "A listener failed.", "listener", listener)

		select {
		case n.failed <- errors.Annotate(err, listener):
		default: // The process ends already.
		}
	}
}
