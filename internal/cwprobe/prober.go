package cwprobe

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbudget"
	"carobward.example/carobward/internal/cwdrain"
	"carobward.example/carobward/internal/cwserver"
)

// The rates and limits of the prober.
const (
	tickInterval = 100 * time.Millisecond
	// maxInFlight bounds the concurrent probes.
	maxInFlight = 16
	// assignInterval is the time after which the servers to probe are assigned
	// again.
	assignInterval = time.Second
)

// Options configure a Prober.
type Options struct {
	// Self is this entry VM, and VMs returns all entry VMs that are not dead.
	Self carobward.VMID
	VMs  func() []carobward.VMID
	// Servers has the servers to probe, and News receives the results.
	Servers *cwserver.Table
	News    *cwdrain.System
	Account *cwbudget.Account
	// Path is the path of the health endpoint.
	Path string
	// MaxReportAge is the age of a server's last report from which it is probed.
	MaxReportAge time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	Clock   carobward.Clock
	Log     logr.Logger
}

// Prober probes the servers that are assigned to this entry VM.
type Prober struct {
	options Options
	log     logr.Logger
	done    chan struct{}

	mutex      sync.Mutex
	assignedAt time.Time
	assigned   []*cwserver.Server
	probed     map[carobward.Address]time.Time
	inFlight   map[carobward.Address]bool
}

// New returns a Prober.
func New(o Options) *Prober {
	return &Prober{
		options:  o,
		log:      o.Log.WithName("probe"),
		done:     make(chan struct{}),
		probed:   map[carobward.Address]time.Time{},
		inFlight: map[carobward.Address]bool{},
	}
}

// Done is closed once Run has returned.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)

	var group conc.WaitGroup
	defer group.Wait()

	t := time.NewTicker(tickInterval)
	defer t.Stop()

	for ctx.Err() == nil {
		for _, s := range p.next() {
			group.Go(func() { p.probe(ctx, s) })
		}

		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// reservation returns the cost that is reserved for one probe.
func reservation() cwbudget.Cost { return cwbudget.Cost{Calls: 1, Bytes: cwbudget.MaxProbeBytes} }

// next returns the servers to probe now and reserves the cost of the probes.
func (p *Prober) next() []*cwserver.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.options.Clock.Now()
	p.assign(now)

	var all []*cwserver.Server

	for _, s := range pickDue(now, p.assigned, p.probed, p.options.MaxReportAge) {
		if p.inFlight[s.Address] {
			continue
		}

		if len(p.inFlight) >= maxInFlight || !p.options.Account.Reserve(now, reservation()) {
			break
		}

		p.inFlight[s.Address] = true
		p.probed[s.Address] = now
		all = append(all, s)
	}

	return all
}

// assign updates the servers that are assigned to this entry VM, if it is time.
func (p *Prober) assign(now time.Time) {
	if now.Sub(p.assignedAt) < assignInterval {
		return
	}

	p.assignedAt = now
	p.assigned = Assigned(p.options.Self, p.options.VMs(), p.options.Servers.All())
	p.prune(p.assigned)
}

// prune removes the probe times of servers that are not assigned to this entry
// VM, once they are more than half of all.
func (p *Prober) prune(assigned []*cwserver.Server) {
	if len(p.probed) <= 2*len(assigned) {
		return
	}

	keep := make(map[carobward.Address]time.Time, len(assigned))

	for _, s := range assigned {
		if t, ok := p.probed[s.Address]; ok {
			keep[s.Address] = t
		}
	}

	p.probed = keep
}

func (p *Prober) probe(ctx context.Context, s *cwserver.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()

	sent := p.options.Clock.Now()
	r := probeOnce(ctx, s.Address, p.options.Path)
	now := p.options.Clock.Now()

	p.options.Account.Settle(now, reservation(), cwbudget.Cost{Calls: 1, Bytes: r.bytes})
	s.SetReport(r.report)
	p.options.News.Checked(sent, s.Address, r.check)
	p.log.V(1).Info("Probed a server.", "server", s.Address, "outcome", r.check.String(), "bytes", r.bytes)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	delete(p.inFlight, s.Address)
}
