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
	"carobward.example/carobward/internal/cwwire"
)

// The paces of the mesh.
const (
	// beatTime is the time between heartbeats. Datagrams between failure
	// domains are paid for, and all that must be quick is sent at once.
	beatTime = time.Second
	// seedTime is the time between heartbeats to seeds that did not answer.
	seedTime = 300 * time.Millisecond
	// meetTime is the time between heartbeats of a new entry VM to peers that it was
	// told of and that did not answer, greetsMost how many of them get one. Where all
	// start again within tenths of a second, callers wait for that.
	meetTime   = 100 * time.Millisecond
	greetsMost = 8
	// othersMost is how many peers a datagram tells of: some 80 bytes each,
	// within one packet.
	othersMost = 14
	// wordsMost is of how many servers a heartbeat tells what they said, of each kind, drawn
	// at random where there are more: some 40 bytes each, within one packet.
	wordsMost = 32
	// newTime is for how long after its start an entry VM asks each one that it
	// meets who else there is.
	newTime = 3 * time.Second
	// datagramMost is the largest datagram in bytes: Nodes of a failure domain and
	// summaries of a dozen.
	datagramMost = 16384
)

// Service is the name of the peers' service for net/rpc.
const Service = "Mesh"

// Options are the parts that a Mesh needs.
type Options struct {
	Table  *Table
	Mirror *cwmirror.Mirror
	// Domains are all failure domains.
	Domains []carobward.Domain
	// Seeds are addresses of entry VMs to begin with.
	Seeds []carobward.Address
	Key   cwpeer.Key
	Clock carobward.Clock
	Log   logr.Logger
	// Link is the speed of this VM's link in bytes a second; 0: linkLeast.
	Link carobward.ByteCount
	// Changed is called with the changes that came from a peer.
	Changed func([]carobward.Item)
	// Words returns what servers said: lately, or for a newcomer at any time. TakeWords
	// is called with what they said to a peer.
	Words     func(now time.Time, newcomer bool) carobward.ServerWords
	TakeWords func(words carobward.ServerWords, from carobward.VMID)
	// Grant gives tokens of a team's quota.
	Grant func(team carobward.TeamName, want int) cwquota.Grant
	// Near asks the owners of this failure domain for tokens of a team.
	Near func(ctx context.Context, team carobward.TeamName, want int) cwquota.Grant
}

// Mesh sends and takes heartbeats and fetches changes.
type Mesh struct {
	Options

	boot    uint64
	conn    net.PacketConn
	clients *cwpeer.Clients
	// call asks a peer for changes.
	call  func(ctx context.Context, peer carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error
	state atomic.Uint32
	away  atomic.Bool
	rate  atomic.Int64
	// far tells that the next word goes to the other failure domains, too, and
	// relay that what was last heard from one is yet to be passed on.
	far   atomic.Bool
	relay atomic.Bool
	// asked tells that a peer has been asked for its copy, and so for what it keeps.
	asked  atomic.Bool
	began  time.Time
	wake   chan struct{}
	offers chan offer
	work   conc.WaitGroup

	mutex  sync.Mutex
	claims claims
	// nth counts the answers of the store to this entry VM.
	nth uint64
	// asks has the asks for tokens without an answer by their numbers.
	asks    map[uint64]chan cwquota.Grant
	lastAsk uint64
	// relayed counts the asks of other failure domains that are worked on.
	relayed atomic.Int64
	// lack is when peers were ahead that could not bring the copy up to date.
	lack time.Time
	push push
	// seeded has the seeds that have not answered yet.
	seeded map[carobward.Address]bool
}

// New returns a mesh that talks over a datagram socket.
func New(o Options, conn net.PacketConn) *Mesh {
	o.Log = o.Log.WithName("mesh")
	m := &Mesh{
		Options: o, boot: rand.Uint64(), conn: conn, clients: cwpeer.NewClients(o.Key),
		began: o.Clock.Now(), wake: make(chan struct{}, 1), offers: make(chan offer, 1), seeded: map[carobward.Address]bool{}, claims: newClaims(), asks: map[uint64]chan cwquota.Grant{},
	}

	m.call = func(ctx context.Context, peer carobward.Address, in *cwwire.ChangesRequest, out *cwwire.ChangesReply) error {
		return m.clients.Call(ctx, peer, Service+".Changes", in, out)
	}

	m.AddSeeds(o.Seeds)

	return m
}

// AddSeeds asks more entry VMs who there is, until they answer.
func (m *Mesh) AddSeeds(list []carobward.Address) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	for _, s := range list {
		if s != m.Table.Self().Peers {
			m.seeded[s] = true
		}
	}
}

// Run works until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	m.work.Go(func() { m.receive(ctx) })
	m.work.Go(func() { m.send(ctx) })
	m.work.Go(func() { m.takeOffers(ctx) })

	defer m.work.Wait()

	<-ctx.Done()
	_ = m.conn.Close()
	m.clients.Close()
}

// SetState tells the peers whether this entry VM takes callers.
func (m *Mesh) SetState(s State) {
	if m.state.Swap(uint32(s)) != uint32(s) {
		m.Tell()
	}
}

// State returns whether this entry VM takes callers.
func (m *Mesh) State() State { return State(m.state.Load()) }

// SetAway notes whether the store serves this entry VM, and tells whether that is
// news.
func (m *Mesh) SetAway(away bool) bool { return m.away.Swap(away) != away }

// SetRate tells the peers this entry VM's requests a second, from the next
// heartbeat on.
func (m *Mesh) SetRate(perSecond int) { m.rate.Store(int64(perSecond)) }

// TellFleet sends a heartbeat to all entry VMs now, with the changes that were
// taken if there are any and they are small.
func (m *Mesh) TellFleet(c *carobward.Changes) {
	m.setPush(c)
	m.far.Store(true)
	m.Tell()
}

// Tell sends a heartbeat to all of the failure domain now.
func (m *Mesh) Tell() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Suspended sets back the times at which the copy was known to be the newest and the
// store answered, after a time that the VM's clock did not count. Without it this entry
// VM would take its copy for fresh, and tell peers so. What is known of peers stays: that
// they went on is likely, and without them this entry VM would count as alone.
func (m *Mesh) Suspended(by time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.claims.setBack(by)
}
