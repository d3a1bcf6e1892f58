package cwmesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwreserve"
	"carobward.example/carobward/internal/cwwire"
)

// Intervals and size limits of heartbeats.
const (
	// heartbeatInterval is the time between heartbeats. Datagrams between failure
	// domains cost money, and urgent updates are sent without waiting for the next one.
	heartbeatInterval = time.Second
	// seedInterval is the time between heartbeats to seeds that have not answered.
	seedInterval = 300 * time.Millisecond
	// greetInterval is the time between heartbeats of a newly started entry VM to peers
	// that others named and that have not answered, maxGreets how many of them get one
	// each time. If all entry VMs restart within tenths of a second, callers wait until
	// they know each other.
	greetInterval = 100 * time.Millisecond
	maxGreets     = 8
	// maxNamedPeers is how many peers a datagram names: some 80 bytes each, so that it
	// fits into one packet.
	maxNamedPeers = 14
	// maxNotices is how many servers' notices of each kind a heartbeat carries, a random
	// sample if there are more: some 40 bytes each, so that it fits into one packet.
	maxNotices = 32
	// newcomerTime is for how long after its start an entry VM asks each peer that it
	// contacts for the other entry VMs.
	newcomerTime = 3 * time.Second
	// maxDatagramSize is the size of the receive buffer in bytes: enough for the Nodes of
	// a failure domain and a dozen summaries.
	maxDatagramSize = 16384
)

// Service is the name under which peers register their net/rpc service.
const Service = "Mesh"

// Options has the dependencies of a Mesh.
type Options struct {
	Table  *Table
	Mirror *cwmirror.Mirror
	// Domains has all failure domains.
	Domains []carobward.Domain
	// Seeds has the addresses of the entry VMs to contact first.
	Seeds []carobward.Address
	Key   cwpeer.Key
	Clock carobward.Clock
	Log   logr.Logger
	// Link is the speed of this VM's network link in bytes a second; 0 means defaultLinkSpeed.
	Link carobward.ByteCount
	// Changed is called with the items that changes from a peer brought into force.
	Changed func([]carobward.Item)
	// Notices returns the servers' recent notices, or for a newcomer all that are known.
	// TakeNotices is called with those that a peer passed on.
	Notices     func(now time.Time, newcomer bool) carobward.Announcements
	TakeNotices func(notices carobward.Announcements, from carobward.VMID)
	// OwnLoad returns the recent load at this entry VM of the services whose load the
	// others need to know. It may be nil.
	OwnLoad func(now time.Time) []carobward.ServiceLoad
	// PendingSuspension returns for how long the VM was suspended without Suspended having been
	// called yet. It may be nil.
	PendingSuspension func() time.Duration
	// LostServices returns the services of which the others are told that this entry VM reaches no
	// server. It may be nil.
	LostServices func(now time.Time) []carobward.Service
	// Grant grants tokens of a team's quota.
	Grant func(team carobward.TeamName, a *cwreserve.Ask) cwquota.Grant
	// DomainGrant asks the owners in this failure domain for tokens of a team's quota.
	DomainGrant func(ctx context.Context, team carobward.TeamName, a *cwreserve.Ask) cwquota.Grant
}

// Mesh exchanges heartbeats with the other entry VMs and fetches changes of the store from them.
type Mesh struct {
	Options

	boot    uint64
	conn    net.PacketConn
	clients *cwpeer.Clients
	// call requests changes from a peer.
	call  func(ctx context.Context, peer carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error
	state atomic.Uint32
	// stateSince is when the state last changed, in Unix nanoseconds, or 0.
	stateSince atomic.Int64
	storeDown  atomic.Bool
	rate       atomic.Int64
	// heartbeats counts the heartbeats that this entry VM made.
	heartbeats atomic.Uint64
	// summaries counts the summaries that this entry VM made.
	summaries atomic.Uint64
	// sendsFar is set if the next heartbeat also goes to the other failure domains,
	// relayPending if an update from one of them has yet to be passed on in this one.
	sendsFar     atomic.Bool
	relayPending atomic.Bool
	// lastFetch is when a peer last sent changes, and with them the items that it keeps, in Unix
	// nanoseconds, or 0.
	lastFetch atomic.Int64
	started   time.Time
	wake      chan struct{}
	offers    chan offer
	group     conc.WaitGroup

	mutex  sync.Mutex
	claims claims
	// answers counts the store's answers to this entry VM.
	answers uint64
	// tokenRequests has the token requests without an answer by their numbers.
	tokenRequests    map[uint64]chan cwquota.Grant
	lastTokenRequest uint64
	// tokenRelays counts the token requests of other failure domains in progress.
	tokenRelays atomic.Int64
	// gapSeen is when a peer that was ahead last lacked the changes since this replica.
	gapSeen time.Time
	push    push
	// silentSeeds has the seeds that have not answered yet.
	silentSeeds map[carobward.Address]bool
}

// New returns a mesh that communicates over a datagram socket.
func New(o Options, conn net.PacketConn) *Mesh {
	o.Log = o.Log.WithName("mesh")
	m := &Mesh{
		Options: o, boot: rand.Uint64(), conn: conn, clients: cwpeer.NewClients(o.Key),
		started: o.Clock.Now(), wake: make(chan struct{}, 1), offers: make(chan offer, 1), silentSeeds: map[carobward.Address]bool{}, claims: newClaims(), tokenRequests: map[uint64]chan cwquota.Grant{},
	}

	m.claims.pauses.lastTick = m.started // A pause may come before the first call of MarkRunning.

	m.call = func(ctx context.Context, peer carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
		return m.clients.Call(ctx, peer, Service+".Changes", in, out)
	}

	m.AddSeeds(o.Seeds)

	return m
}

// AddSeeds adds entry VMs to contact until they answer.
func (m *Mesh) AddSeeds(list []carobward.Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	for _, s := range list {
		if s != m.Table.Self().Peers {
			m.silentSeeds[s] = true
		}
	}
}

// Run sends and receives until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	m.group.Go(func() { m.receive(ctx) })
	m.group.Go(func() { m.sendLoop(ctx) })
	m.group.Go(func() { m.handleOffers(ctx) })

	defer m.group.Wait()

	<-ctx.Done()
	_ = m.conn.Close()
	m.clients.Close()
}

// SetState sets whether this entry VM takes callers, and announces it to the peers at once.
func (m *Mesh) SetState(s State) {
	if m.state.Swap(uint32(s)) != uint32(s) {
		m.stateSince.Store(m.Clock.Now().UnixNano())
		m.HeartbeatDomain()
	}
}

// hasNewState reports whether the state changed so lately that a peer that was greeted before that
// has not had another heartbeat since.
func (m *Mesh) hasNewState(now time.Time) bool {
	since := m.stateSince.Load()

	return since != 0 && now.Sub(time.Unix(0, since)) < heartbeatInterval
}

// State returns whether this entry VM takes callers.
func (m *Mesh) State() State { return State(m.state.Load()) }

// SetStoreDown sets whether the store fails to serve this entry VM, and reports whether
// that changed.
func (m *Mesh) SetStoreDown(down bool) bool { return m.storeDown.Swap(down) != down }

// SetRate sets this entry VM's requests a second, which peers learn with the next
// heartbeat.
func (m *Mesh) SetRate(perSecond int) { m.rate.Store(int64(perSecond)) }

// HeartbeatFleet sends a heartbeat to the whole fleet now, with the given changes if there
// are any and they are small.
func (m *Mesh) HeartbeatFleet(c *carobward.Changes) {
	m.setPush(c)
	m.sendsFar.Store(true)
	m.HeartbeatDomain()
}

// HeartbeatDomain sends a heartbeat to all peers of the failure domain now.
func (m *Mesh) HeartbeatDomain() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Suspended adds a time that the VM's clock did not count to the age of what is known of
// the store: when the replica was up to date, and when the store last answered. Otherwise
// this entry VM would consider its replica up to date, and claim so to peers. The same holds
// for what callers are told. Peers still count as alive: they have most likely kept running,
// and without them this entry VM would act as if it were alone.
func (m *Mesh) Suspended(by time.Duration) {
	m.Table.setBack(by)

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.setBack(by)
	m.claims.pauses.addSuspension(by, m.Clock.Now())
}

// ageTime returns the time from which ages are counted that are passed on: now, and a suspension
// that Suspended has yet to add.
func (m *Mesh) ageTime(now time.Time) time.Time {
	if m.PendingSuspension == nil {
		return now
	}

	return now.Add(m.PendingSuspension())
}
