// Package cwgateway puts the parts of one entry VM on the users' platform
// together: the callers' requests, the answer which addresses to use, the
// readiness check, the other entry VMs and the platform's store.
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
	"carobward.example/carobward/internal/cwfollow"
	"carobward.example/carobward/internal/cwfront"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmesh"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwmirror"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwquarantine"
	"carobward.example/carobward/internal/cwquota"
)

// The figures of an entry VM.
const (
	// tickTime is the pace of the systems that run over the tables. A caller
	// that goes is noticed within two ticks.
	tickTime = 100 * time.Millisecond
	// answerTime is how long callers may keep an answer which addresses to
	// use. Some keep it three times as long, and an entry VM that stops has to
	// outlast that.
	answerTime = 1200 * time.Millisecond
	// nearLeast is how many entry VMs of the caller's failure domain are
	// enough, so that the loss of several leaves one.
	nearLeast = 4
	// addressesMost is how many addresses a caller takes.
	addressesMost = 64
	// serveShare is the part of the grace for which a stopping entry VM still
	// takes connections, and endShare by when it ends in any case.
	serveShare = 0.7
	endShare   = 0.93
	// connsFirst is the bound on connections to one server before a
	// configuration gives it.
	connsFirst = 200
	// connIdle is how long an idle connection is used where the server does
	// not say how long it keeps it.
	connIdle = 4 * time.Second
	// connIdleMost is how long one is used at most: new connections are paid
	// for, and idle ones cost some hundred bytes each.
	connIdleMost = 30 * time.Second
	// dialTime bounds opening a connection to a server.
	dialTime = 300 * time.Millisecond
	// headerBytes is the largest header of a reply.
	headerBytes = 8 * carobward.Kilobyte
	// listenTime bounds reading and writing of the small listeners.
	listenTime = 5 * time.Second
)

// Adapter translates between the platform and the product.
type Adapter struct {
	Feed    carobward.Feed
	Caller  carobward.CallerDialect
	Lookup  carobward.LookupDialect
	Servers carobward.Dialect
	// LookupPath and ReadyPath are the paths of the two questions.
	LookupPath string
	ReadyPath  string

	IsRouting func(carobward.Key) bool
	IsBackend func(carobward.Key) bool
	// Evacuated returns the failure domain that is evacuated while a key exists.
	Evacuated func(carobward.Key) (carobward.Domain, bool)
	Instance  func(carobward.Key) carobward.Instance
	// Rank returns the rank of a value.
	Rank    func(carobward.Key, []byte) carobward.Rank
	Routing func([]byte) (*carobward.Routing, error)
	Backend func(carobward.Key, []byte) (carobward.Backend, error)
}

// Options are what one entry VM is told.
type Options struct {
	Self    cwmesh.Node
	Ready   carobward.Address
	Lookup  carobward.Address
	Metrics carobward.Address
	// Bounds are those at the start, see SetBounds.
	Bounds
	// Regions has the region of each failure domain.
	Regions map[carobward.Domain]carobward.Region
	// First tells that the whole fleet starts for the first time.
	First bool
	Key   cwpeer.Key
	// Link is the speed of the VM's link in bytes a second, 0 if it is not known.
	Link    carobward.ByteCount
	Adapter Adapter
	// Dropped returns the number of log lines that were dropped, Calls that of
	// the calls to the store.
	Dropped func() int64
	Calls   func() int64
	Clock   carobward.Clock
	// Suspended returns for how long the VM was suspended since the last call, which
	// Clock does not count. Pending returns the same and leaves it to be counted.
	Suspended func() time.Duration
	Pending   func() time.Duration
	Log       logr.Logger
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
	front   *cwfront.Front
	mesh    *cwmesh.Mesh
	follow  *cwfollow.Follower
	// suspects has the requests under which servers ended, keeper shares them.
	suspects *cwquarantine.Table
	keeper   *cwquarantine.Keeper
	quota    *cwquota.Keeper

	bounds atomic.Pointer[Bounds]

	mutex sync.Mutex
	// unusable has the servers whose entry can't be used.
	unusable map[carobward.Instance]bool
	// evacuated has the failure domains that the operators evacuate.
	evacuated map[carobward.Domain]evacuated
	// rate is this entry VM's requests a second, and counted the requests at
	// the last tick; only the tick writes them.
	rate    atomic.Uint64
	counted int64
}

// New returns an entry VM whose parts do not run yet.
func New(o Options) (*Gateway, error) {
	g := &Gateway{
		Options: o, log: o.Log.WithName("gateway"), unusable: map[carobward.Instance]bool{}, evacuated: map[carobward.Domain]evacuated{}, metrics: cwmetric.New(),
		table: cwmesh.NewTable(o.Self), mirror: newMirror(&o.Adapter), servers: cwbackend.New(cwbackend.VM{ID: o.Self.ID, Domain: o.Self.Domain, Regions: o.Regions}),
	}

	g.link = cwlink.New(cwlink.Options{
		MaxConns: connsFirst, IdleTimeout: connIdle, MaxIdleTimeout: connIdleMost, DialTimeout: dialTime, MaxHeaderSize: headerBytes, Dialect: o.Adapter.Servers,
	}, o.Clock)

	g.suspects = cwquarantine.NewTable()
	g.keeper = cwquarantine.New(cwquarantine.Options{
		VM: o.Self.ID, Table: g.suspects, Feed: o.Adapter.Feed, Clock: o.Clock, Log: o.Log,
		LastAnswer: func() time.Time { return g.mesh.LastStoreAnswer() },
		Leads:      func() bool { return g.follow.Leads() },
		Era:        func() carobward.StoreEra { return g.mirror.State().Era },
	})

	g.quota = cwquota.New(cwquota.Options{
		Self: o.Self.ID, Clock: o.Clock, Log: o.Log,
		Fleet: func(now time.Time) cwquota.Fleet { return g.mesh.Quota(now) },
		Ask: func(ctx context.Context, to carobward.VMID, team carobward.TeamName, want int) (cwquota.Grant, error) {
			return g.mesh.AskTokens(ctx, to, team, want)
		},
		AskFar: func(ctx context.Context, in carobward.Domain, team carobward.TeamName, want int) (cwquota.Grant, error) {
			return g.mesh.AskTokensInDomain(ctx, in, team, want)
		},
	})
	g.quota.SetBounds(o.Quota)

	g.front = cwfront.New(cwfront.Options{
		Dialect: o.Adapter.Caller, Domain: o.Self.Domain, Regions: o.Regions, Servers: g.servers, Link: g.link, Quarantine: g.keeper, Quota: g.quota, Clock: o.Clock,
		Metrics: g.metrics, Log: o.Log, Limits: o.Limits,
		FleetSize:    func() int { return g.table.Size(o.Clock.Now()) },
		TrafficShare: func() float64 { return g.part(o.Clock.Now()) },

		KeyAge: func(now time.Time) time.Duration { return now.Sub(g.mesh.Checked()) + o.Pending() },
	})

	g.bounds.Store(&o.Bounds)

	conn, err := net.ListenPacket("udp", string(o.Self.Peers))
	if err != nil {
		return nil, errors.Annotate(err, "peers")
	}

	g.mesh = cwmesh.New(cwmesh.Options{
		Table: g.table, Mirror: g.mirror, Seeds: o.Seeds, Key: o.Key, Link: o.Link, Clock: o.Clock, Log: o.Log, Changed: g.changed,
		Notices: g.servers.Announcements, TakeNotices: g.takeWords, Grant: g.quota.Grant, DomainGrant: g.quota.Near, Domains: slices.Collect(maps.Keys(o.Regions)),
	}, conn)

	g.follow = cwfollow.New(cwfollow.Options{
		Feed: o.Adapter.Feed, Mirror: g.mirror, Mesh: g.mesh, Table: g.table, Clock: o.Clock, Log: o.Log, Changed: g.changed,
		First: o.First, Seed: slices.Contains(o.Seeds, o.Self.Peers),
	})

	g.gauges()

	return g, nil
}

// Run serves until stop is closed, and then stops within the grace.
func (g *Gateway) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()

	listeners, err := g.listen(ctx, &group)
	if err != nil {
		return err
	}

	group.Go(func() { g.mesh.Run(ctx) })
	group.Go(func() { g.follow.Run(ctx) })
	group.Go(func() { g.keeper.Run(ctx) })
	group.Go(func() { g.tick(ctx) })
	g.log.Info("Started.", "vm", g.Self.ID, "domain", g.Self.Domain, "callers", g.Self.Callers, "seeds", g.Seeds)

	<-stop
	g.stop(listeners)

	return nil
}

// ready tells the peers once there is a configuration and a list of servers, and it is known
// which keys are in force where callers show them.
func (g *Gateway) ready() {
	if g.mesh.State() == cwmesh.Starting && g.front.Routes() != nil && g.servers.Count() > 0 && g.knowsKeys() {
		g.log.Info("Ready.", "version", g.front.Routes().Version, "servers", g.servers.Count())
		g.mesh.SetState(cwmesh.Ready)
	}
}

// knowsKeys tells whether it is known which keys are in force, or none are needed.
func (g *Gateway) knowsKeys() bool {
	return !g.front.Routes().HasTeams() || !g.mesh.Checked().IsZero()
}

func (g *Gateway) isReady() bool { return g.mesh.State() == cwmesh.Ready }

// stop lets the callers go: the entry VM leaves all answers, serves those that
// still come by an older one, and ends once none is left or the grace is over.
func (g *Gateway) stop(listeners []net.Listener) {
	began := g.Clock.Now()
	grace := float64(g.bounds.Load().Grace)
	g.log.Info("Stopping.", "flight", g.front.InFlight())
	g.front.Leave()
	g.mesh.SetState(cwmesh.Leaving)

	time.Sleep(time.Duration(serveShare * grace))

	// The callers' listener is the first.
	_ = listeners[0].Close()

	for g.front.InFlight() > 0 && g.Clock.Now().Sub(began) < time.Duration(endShare*grace) {
		time.Sleep(tickTime / 4)
	}

	g.log.Info("Stopped.", "flight", g.front.InFlight(), "took", g.Clock.Now().Sub(began).String())
}
