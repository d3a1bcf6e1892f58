// Package cwfront forwards callers' requests to backend servers. It finds the route,
// checks the health and load of a few servers right before it sends, sends to the best
// one, and answers with the complete reply or with a failure that claims no more than is
// known.
package cwfront

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwconn"
	"carobward.example/carobward/internal/cwdisconnect"
	"carobward.example/carobward/internal/cwhold"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwmemory"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwpick"
	"carobward.example/carobward/internal/cwquarantine"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwreach"
	"carobward.example/carobward/internal/cwroutes"
	"carobward.example/carobward/internal/cwstop"
)

// Options are the dependencies and settings of a Front.
type Options struct {
	// VM is this entry VM, Domain its failure domain.
	VM      carobward.VMID
	Dialect carobward.CallerDialect
	Domain  carobward.Domain
	// Regions has the region of each failure domain.
	Regions map[carobward.Domain]carobward.Region
	Servers *cwbackend.Table
	Link    *cwlink.Link
	// Relay passes requests to entry VMs that reach servers while this one does not. It may be
	// nil.
	Relay Relay
	// Quarantine holds the requests that are not sent for now because servers crashed
	// with them in flight.
	Quarantine *cwquarantine.Keeper
	// Quota has the quotas of teams.
	Quota   *cwquota.Limiter
	Clock   carobward.Clock
	Metrics *cwmetric.Set
	Log     logr.Logger
	// Requests is the budget for the headers and bodies of requests, and MaxConns bounds the callers'
	// connections. Nil and zero mean those of a VM without a memory limit.
	Requests *cwmemory.Budget
	MaxConns int
	// Limits are the limits at the start, see SetLimits.
	Limits Limits
	// FleetSize returns the number of entry VMs that share the limits.
	FleetSize func() int
	// FleetLoad returns the load of a service at all entry VMs, see carobward.FleetLoad.
	FleetLoad func(s carobward.Service, now time.Time) []carobward.DomainLoad
	// TrafficShare returns this entry VM's share of all requests. The limit on health
	// checks is split by it.
	TrafficShare func() float64
	// KeyAge returns the age of this entry VM's knowledge of the API keys. Keys that were
	// revoked longer ago than that are known to be revoked.
	KeyAge func(now time.Time) time.Duration
	// RunningAge returns the age of a time without the last pause of this process. It may be nil.
	RunningAge func(of, now time.Time) time.Duration
	// OthersReady reports whether callers can use another entry VM.
	OthersReady func() bool
	// Startup returns the state of this entry VM's start. Requests that lack something that
	// it will bring may be held; StartChanged has them decided on again.
	Startup func(now time.Time) cwhold.Start
}

// Limits are the operators' limits over all entry VMs. They can change at run time.
type Limits struct {
	// ExtraShare, ExtraWindow and ExtraMin limit the calls beyond the first of each
	// request (retries and hedges): each window allows ExtraShare of its requests, and
	// ExtraMin more.
	ExtraShare  float64
	ExtraWindow time.Duration
	ExtraMin    int
	// ChecksPerSecond is the maximum rate of health checks that one server gets.
	ChecksPerSecond float64
	// MaxKeyAge is the age of this entry VM's knowledge of the API keys from which on it
	// refuses requests that need a key; 0 means no limit.
	MaxKeyAge time.Duration
}

// Front handles callers' requests.
type Front struct {
	Options

	limits      atomic.Pointer[Limits]
	routes      atomic.Pointer[cwroutes.Table]
	started     time.Time
	disconnects *cwdisconnect.Watcher
	inFlight    atomic.Int64
	total       atomic.Int64
	// plan is that of the stop, or nil if this entry VM isn't stopping.
	plan atomic.Pointer[cwstop.Plan]
	work conc.WaitGroup
	held *held
	// conns and relayConns have the connections of callers and of peers that pass requests on.
	conns      *cwconn.Table
	relayConns *cwconn.Table
	// reach tracks of which services this entry VM reaches servers.
	reach *cwreach.Tracker
	// counts holds the metrics of this package.
	counts *expvar.Map

	mutex    sync.Mutex
	services map[carobward.Service]*serviceState
}

// New returns a front without a configuration. It holds or refuses requests until SetRoutes
// is called.
func New(o Options) *Front {
	o.Log = o.Log.WithName("front")

	plan := cwmemory.NewPlan(0)
	if o.Requests == nil {
		o.Requests = cwmemory.NewBudget(plan.Requests, plan.Reserve)
	}

	if o.MaxConns == 0 {
		o.MaxConns = plan.Conns
	}

	f := &Front{
		Options: o, started: o.Clock.Now(), disconnects: cwdisconnect.New(), held: newHeld(), conns: cwconn.New(o.MaxConns, o.Clock), relayConns: cwconn.New(maxRelayConns, o.Clock), reach: cwreach.New(), services: map[carobward.Service]*serviceState{}, counts: o.Metrics.Part(metricsPart),
	}
	f.limits.Store(&o.Limits)

	return f
}

// SetLimits applies the operators' limits, except ExtraWindow: counts of a window of
// another length can't be used for the new one.
func (f *Front) SetLimits(l Limits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	l.ExtraWindow = f.limits.Load().ExtraWindow
	f.limits.Store(&l)

	for _, s := range f.services {
		s.window.SetLimit(l.extraLimit())
	}
}

// The names of the metrics of this package.
const (
	metricsPart       = "front"
	metricsPartExtra  = "extra"
	countHealthChecks = "looks"
	countSends        = "sends"
	countRetries      = "again"
	countDenied       = "denied"
	countRefusals     = "refused"
	countHedges       = "hedges"
	countHandovers    = "handed"
	countStreamed     = "passed"
	countBroken       = "broken"
	countQuarantined  = "quarantined"
	countFaults       = "faults"
	countStaleKeys    = "keysold"
	countHeld         = "startheld"
	countOverQuota    = "over"
	countQuotaUnknown = "unknown"
	countUnadmitted   = "unadmitted"
	countUnreached    = "unreached"
	countRelayed      = "relayed"
	countUnrelayed    = "unrelayed"
	countTaken        = "taken"
	countStopping     = "stopping"
)

// SetRoutes applies a configuration to the requests from now on.
func (f *Front) SetRoutes(t *cwroutes.Table) { f.routes.Store(t) }

// Routes returns the active configuration, or nil.
func (f *Front) Routes() *cwroutes.Table { return f.routes.Load() }

// AllowedRegions returns the regions to which requests of a host's routes may go, for the
// routes that restrict them.
func (f *Front) AllowedRegions(host string) []carobward.Region {
	t := f.routes.Load()
	if t == nil {
		return nil
	}

	return t.AllowedRegions(host)
}

// ServicesOf returns the services to which requests of a host may go.
func (f *Front) ServicesOf(host string) []carobward.Service {
	t := f.routes.Load()
	if t == nil {
		return nil
	}

	return t.ServicesOf(host)
}

// InFlight returns the number of requests in progress.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// Total returns the number of requests received, without those that other entry VMs took.
func (f *Front) Total() int64 { return f.total.Load() }

// Tick cancels the work of callers that have disconnected, probes the services that are not
// reached, and sets the rate of health checks by the number of servers and of entry VMs.
func (f *Front) Tick(now time.Time) {
	f.disconnects.Tick()
	f.probeLost(now)

	f.mutex.Lock()
	defer f.mutex.Unlock()

	for name, s := range f.services {
		limit, burst := f.checkRate(name)
		s.checks.SetLimitAt(now, limit)
		s.checks.SetBurstAt(now, burst)
	}
}

// checkFraction is the fraction of the limit on health checks that is used.
// checkBurstSeconds is the number of seconds' worth of checks that can be saved up for a
// peak.
const (
	checkFraction     = 0.9
	checkBurstSeconds = 4
)

// checkRate returns how many health checks a second this entry VM may make of a service's
// servers, and how many it can save up.
func (f *Front) checkRate(name carobward.Service) (rate.Limit, int) {
	most := checkFraction * f.limits.Load().ChecksPerSecond * float64(f.Servers.CountOf(name)) * f.TrafficShare()

	return rate.Limit(most), int(checkBurstSeconds*most) + cwpick.SampleSize
}

// checkStartSeconds is the number of seconds' worth of checks that a process begins with. The one
// before may have used all it had, so it is little more than the time in which a process starts
// again, for which the limit allows checks that nobody makes.
const checkStartSeconds = 0.5

// newCheckLimiter returns the rate limit on health checks of a service's servers.
func (f *Front) newCheckLimiter(name carobward.Service) *rate.Limiter {
	limit, burst := f.checkRate(name)
	checks := rate.NewLimiter(limit, burst)
	checks.AllowN(f.Clock.Now(), burst-int(checkStartSeconds*float64(limit)))

	return checks
}

// Wait waits for all goroutines started for requests.
func (f *Front) Wait() { f.work.Wait() }
