// Package cwgateway assembles one entry VM on the users' platform: the proxy for
// callers' requests, the address lookup, the readiness check, the exchange with the
// other entry VMs and the connection to the platform's store.
package cwgateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwclose"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwfollow"
	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmemory"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwquarantine"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwrelay"
	"carobward.example/carobward/internal/cwreserve"
)

// Intervals, timeouts and limits of an entry VM.
const (
	// tickInterval is the interval of the periodic work on the tables. A caller that
	// disconnects is noticed within two ticks.
	tickInterval = 100 * time.Millisecond
	// defaultLookupTTL is how long callers may keep a lookup reply. Some keep it three
	// times as long, and a stopping entry VM has to go on serving for that time.
	defaultLookupTTL = 1200 * time.Millisecond
	// minAddresses is how many entry VMs near the caller are enough for a lookup reply:
	// should several fail, one is left.
	minAddresses = 4
	// maxAddresses is the largest number of addresses that a caller accepts.
	maxAddresses = 64
	// defaultConns is the limit on connections to one server until a configuration
	// sets it.
	defaultConns = 200
	// defaultIdleTimeout is how long an idle connection is reused if the server does not
	// announce how long it keeps it open.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeouts that servers announce. It is long: each new
	// connection has a cost, while an idle one takes only some hundred bytes.
	maxIdleTimeout = 30 * time.Second
	// dialTimeout limits opening a connection to a server.
	dialTimeout = 300 * time.Millisecond
	// maxReplyHeaderBytes is the largest accepted header of a server's reply.
	maxReplyHeaderBytes = 8 * carobward.Kilobyte
	// listenerTimeout limits reads of the lookup, readiness and operators' listeners.
	listenerTimeout = 5 * time.Second
	// maxClosing bounds the connections that are closing, of all listeners together.
	maxClosing = 256
	// writeStall is how long a caller or a peer may take nothing of what is written to it. A long answer
	// to one that reads slowly takes as long as it needs.
	writeStall = 5 * time.Second
)

// Adapter translates between the platform's protocols and carobward's types.
type Adapter struct {
	Feed    carobward.Feed
	Caller  carobward.CallerDialect
	Lookup  carobward.LookupDialect
	Servers carobward.Dialect
	// LookupPath and ReadyPath are the paths of the address lookup and the readiness check.
	LookupPath string
	ReadyPath  string

	IsRouting func(carobward.Key) bool
	IsBackend func(carobward.Key) bool
	// Evacuated returns the failure domain that is evacuated while a key exists.
	Evacuated func(carobward.Key) (carobward.Domain, bool)
	Instance  func(carobward.Key) carobward.Instance
	// Rank returns the rank of a value, which orders the writes to one key.
	Rank    func(carobward.Key, []byte) carobward.Rank
	Routing func([]byte) (*carobward.Routing, error)
	Backend func(carobward.Key, []byte) (carobward.Backend, error)
}

// Options configure one entry VM.
type Options struct {
	Self    cwmesh.Node
	Ready   carobward.Address
	Lookup  carobward.Address
	Metrics carobward.Address
	// Bounds are the bounds at the start; see SetBounds.
	Bounds
	// Regions maps each failure domain to its region.
	Regions map[carobward.Domain]carobward.Region
	// ServerHeartbeat is the interval at which servers write their entries in the store.
	ServerHeartbeat time.Duration
	// FirstStart reports that the whole fleet starts for the first time.
	FirstStart bool
	Key        cwpeer.Key
	// LinkSpeed is the speed of the VM's network link in bytes a second, 0 if unknown.
	LinkSpeed carobward.ByteCount
	// Memory divides the memory limit of the process.
	Memory  cwmemory.Plan
	Adapter Adapter
	// DroppedLines returns the number of dropped log lines, StoreCalls the number of
	// calls to the store.
	DroppedLines func() int64
	StoreCalls   func() int64
	Clock        carobward.Clock
	// Suspended returns for how long the VM was suspended since the last call, a time
	// that Clock does not count. PendingSuspension returns the same without resetting it.
	Suspended         func() time.Duration
	PendingSuspension func() time.Duration
	Log               logr.Logger
}

// Gateway is one entry VM.
type Gateway struct {
	Options

	log     logr.Logger
	metrics *cwmetric.Set
	table   *cwmesh.Table
	mirror  *cwmirror.Mirror
	servers *cwbackend.Table
	link    *cwlink.Link
	// requests and replies are the budgets for the memory of both.
	requests, replies *cwmemory.Budget
	front             *cwfront.Front
	relay             *cwrelay.Client
	mesh              *cwmesh.Mesh
	follow            *cwfollow.Follower
	// quarantine has the requests that servers were running when they crashed,
	// quarantineKeeper shares them with the other entry VMs.
	quarantine       *cwquarantine.Table
	quarantineKeeper *cwquarantine.Keeper
	quota            *cwquota.Limiter

	bounds atomic.Pointer[Bounds]
	// started is when this entry VM started.
	started time.Time

	// unaccepted counts the errors of listeners that were waited out.
	unaccepted atomic.Int64
	// closer closes the connections that the listeners have accepted.
	closer *cwclose.Closer
	// auxiliary has the connections of the listeners for lookups, readiness and operators.
	auxiliary []*cwconn.Table

	mutex sync.Mutex
	// unusable has the servers whose entry in the store is unusable.
	unusable map[carobward.Instance]bool
	// rejected has the last line about each other key whose value was not used.
	rejected map[carobward.Key]string
	// evacuated has the failure domains that operators have evacuated.
	evacuated map[carobward.Domain]evacuationRecord
	// rate is the bits of a float64, this entry VM's requests a second; lastTotal is the
	// number of requests at the last tick. Only the tick writes them.
	rate      atomic.Uint64
	lastTotal int64
	// claims are the services of which peers were last told that no server is reached. Only the
	// tick uses it.
	claims []carobward.Service
}

// New returns an entry VM that is not running yet.
func New(o Options) (*Gateway, error) {
	g := &Gateway{
		Options: o, log: o.Log.WithName("gateway"), started: o.Clock.Now(), unusable: map[carobward.Instance]bool{}, rejected: map[carobward.Key]string{}, evacuated: map[carobward.Domain]evacuationRecord{}, metrics: cwmetric.New(),
		table: cwmesh.NewTable(o.Self), mirror: newMirror(&o), servers: cwbackend.New(cwbackend.VM{ID: o.Self.ID, Domain: o.Self.Domain, Regions: o.Regions}),
	}

	g.setBudgets()
	g.link = cwlink.New(cwlink.Options{
		MaxConns: defaultConns, IdleTimeout: defaultIdleTimeout, MaxIdleTimeout: maxIdleTimeout, DialTimeout: dialTimeout, MaxHeaderSize: maxReplyHeaderBytes, Dialect: o.Adapter.Servers, Replies: g.replies,
	}, o.Clock)

	g.quarantine = cwquarantine.NewTable()
	g.quarantineKeeper = cwquarantine.New(cwquarantine.Options{
		VM: o.Self.ID, Table: g.quarantine, Feed: o.Adapter.Feed, Clock: o.Clock, Log: o.Log,
		LastAnswer: func() time.Time { return g.mesh.LastStoreAnswer() },
		Leads:      func() bool { return g.follow.Leads() },
		Era:        func() carobward.StoreEra { return g.mirror.State().Era },
	})

	g.quota = g.newQuota()
	g.quota.SetBounds(o.Quota)

	g.relay = g.newRelay()
	g.front = cwfront.New(cwfront.Options{
		VM: o.Self.ID, Relay: g.relay, Dialect: o.Adapter.Caller, Domain: o.Self.Domain, Regions: o.Regions, Servers: g.servers, Link: g.link, Quarantine: g.quarantineKeeper, Quota: g.quota, Clock: o.Clock,
		Metrics: g.metrics, Log: o.Log, Limits: o.Limits, Requests: g.requests, MaxConns: g.Memory.Conns,
		FleetSize:    func() int { return g.mesh.FleetSize(o.Clock.Now()) },
		TrafficShare: func() float64 { return g.trafficShare(o.Clock.Now()) },
		FleetLoad:    func(s carobward.Service, now time.Time) []carobward.DomainLoad { return g.mesh.Load(s, now) },

		OthersReady: func() bool { return len(g.addresses(lookupQuery{domain: o.Self.Domain})) > 0 },

		KeyAge:  func(now time.Time) time.Duration { return now.Sub(g.mesh.Checked()) + o.PendingSuspension() },
		Startup: g.startup, RunningAge: func(of, now time.Time) time.Duration { return g.mesh.RunningAge(of, now) },
	})

	g.closer = cwclose.New(cwclose.Options{MaxConns: maxClosing, WriteStall: writeStall, Log: o.Log})
	g.bounds.Store(&o.Bounds)

	conn, err := net.ListenPacket("udp", string(o.Self.Peers))
	if err != nil {
		return nil, errors.Annotate(err, "peers")
	}

	g.mesh = cwmesh.New(cwmesh.Options{
		Table: g.table, Mirror: g.mirror, Seeds: o.Seeds, Key: o.Key, Link: o.LinkSpeed, Clock: o.Clock, Log: o.Log, Changed: g.applyChanges,
		Notices: g.servers.Announcements, TakeNotices: g.applyReports, Grant: g.quota.Grant, DomainGrant: g.quota.GrantInDomain, OwnLoad: g.front.Loads, LostServices: g.front.Claims, PendingSuspension: o.PendingSuspension, Domains: slices.Collect(maps.Keys(o.Regions)),
	}, conn)

	g.follow = cwfollow.New(cwfollow.Options{
		Feed: o.Adapter.Feed, Mirror: g.mirror, Mesh: g.mesh, Table: g.table, Clock: o.Clock, Log: o.Log, Changed: g.applyChanges,
		First: o.FirstStart, Seed: slices.Contains(o.Seeds, o.Self.Peers),
	})

	g.registerGauges()

	return g, nil
}

// setBudgets sets the budgets by the plan, or by that of a process whose memory limit is not known.
func (g *Gateway) setBudgets() {
	if g.Memory == (cwmemory.Plan{}) {
		g.Memory = cwmemory.NewPlan(0)
	}

	g.requests = cwmemory.NewBudget(g.Memory.Requests, g.Memory.Reserve)
	g.replies = cwmemory.NewBudget(g.Memory.Replies, 0)
}

// newQuota returns the limiter of teams' quotas, which asks the other entry VMs by way of the mesh.
func (g *Gateway) newQuota() *cwquota.Limiter {
	return cwquota.New(cwquota.Options{
		Self: g.Self.ID, Clock: g.Clock, Log: g.Log,
		Fleet: func(now time.Time) cwquota.Fleet { return g.mesh.Quota(now) },
		Ask: func(ctx context.Context, to carobward.VMID, team carobward.TeamName, a *cwreserve.Ask) (cwquota.Grant, error) {
			return g.mesh.AskTokens(ctx, to, team, a)
		},
		AskDomain: func(ctx context.Context, in carobward.Domain, team carobward.TeamName, a *cwreserve.Ask) (cwquota.Grant, error) {
			return g.mesh.AskTokensInDomain(ctx, in, team, a)
		},
	})
}

// Run serves until stop is closed, and then stops within the grace period.
func (g *Gateway) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	defer g.closer.Close()

	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()

	failed := make(chan error, maxListeners)

	listeners, err := g.listen(ctx, &group, failed)
	if err != nil {
		return err
	}

	group.Go(func() { g.mesh.Run(ctx) })
	group.Go(func() { g.follow.Run(ctx) })
	group.Go(func() { g.quarantineKeeper.Run(ctx) })
	group.Go(func() { g.tick(ctx) })
	g.log.Info("Started.", "vm", g.Self.ID, "domain", g.Self.Domain, "callers", g.Self.Callers, "seeds", g.Seeds)

	select {
	case <-stop:
		g.stop(listeners)

		return nil
	case err := <-failed: // An entry VM that callers can't reach must not say that it is ready.
		return err
	}
}

// announceReady announces this entry VM as ready to its peers once it has a configuration
// and a list of servers and, if callers authenticate with keys, knows which keys are in force.
func (g *Gateway) announceReady() {
	if g.mesh.State() == cwmesh.Starting && g.front.Routes() != nil && g.servers.Count() > 0 && g.knowsKeysInForce() {
		g.log.Info("Ready.", "version", g.front.Routes().Version, "servers", g.servers.Count())
		g.mesh.SetState(cwmesh.Ready)
		g.front.StartChanged()
	}
}

// knowsKeysInForce reports whether the keys in force are known, or none are needed.
func (g *Gateway) knowsKeysInForce() bool {
	return !g.front.Routes().HasTeams() || !g.mesh.Checked().IsZero()
}

func (g *Gateway) isReady() bool { return g.mesh.State() == cwmesh.Ready }
