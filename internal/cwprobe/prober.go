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

// The pace of the prober.
const (
	tickEvery = 100 * time.Millisecond
	// atOnce bounds the probes on their way.
	atOnce = 16
	// shareEvery is the time between two looks at whose each server is.
	shareEvery = time.Second
)

// Options are what a Prober works with.
type Options struct {
	// Self is this entry VM, VMs returns all that are not dead.
	Self carobward.VMID
	VMs  func() []carobward.VMID
	// Servers are probed for the news of their leaving.
	Servers *cwserver.Table
	News    *cwdrain.System
	Account *cwbudget.Account
	// Path is the health endpoint.
	Path string
	// Fresh is the age from which what a server said is too old.
	Fresh time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	Clock   carobward.Clock
	Log     logr.Logger
}

// Prober probes the servers that are this entry VM's to probe.
type Prober struct {
	options Options
	log     logr.Logger
	done    chan struct{}

	mutex  sync.Mutex
	shared time.Time
	mine   []*cwserver.Server
	probed map[carobward.Address]time.Time
	flying map[carobward.Address]bool
}

// New returns a Prober.
func New(o Options) *Prober {
	return &Prober{
		options: o,
		log:     o.Log.WithName("probe"),
		done:    make(chan struct{}),
		probed:  map[carobward.Address]time.Time{},
		flying:  map[carobward.Address]bool{},
	}
}

// Done is closed once Run has returned.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)

	var group conc.WaitGroup
	defer group.Wait()

	t := time.NewTicker(tickEvery)
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

// unit is what a probe reserves.
func unit() cwbudget.Cost { return cwbudget.Cost{Calls: 1, Bytes: cwbudget.Unit} }

// next returns the servers to probe now, with the budget reserved.
func (p *Prober) next() []*cwserver.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.options.Clock.Now()
	p.share(now)

	var all []*cwserver.Server

	for _, s := range pick(now, p.mine, p.probed, p.options.Fresh) {
		if p.flying[s.Address] {
			continue
		}

		if len(p.flying) >= atOnce || !p.options.Account.Reserve(now, unit()) {
			break
		}

		p.flying[s.Address] = true
		p.probed[s.Address] = now
		all = append(all, s)
	}

	return all
}

// share works out anew which servers are this entry VM's to probe.
func (p *Prober) share(now time.Time) {
	if now.Sub(p.shared) < shareEvery {
		return
	}

	p.shared = now
	p.mine = Mine(p.options.Self, p.options.VMs(), p.options.Servers.All())
	p.forget(p.mine)
}

// forget drops the times of servers that are not ours any more.
func (p *Prober) forget(mine []*cwserver.Server) {
	if len(p.probed) <= 2*len(mine) {
		return
	}

	keep := make(map[carobward.Address]time.Time, len(mine))

	for _, s := range mine {
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
	r := check(ctx, s.Address, p.options.Path)
	now := p.options.Clock.Now()

	p.options.Account.Settle(now, unit(), cwbudget.Cost{Calls: 1, Bytes: r.bytes})
	s.SetReport(r.report)
	p.options.News.Checked(sent, s.Address, r.check)
	p.log.V(1).Info("Probed.", "server", s.Address, "outcome", r.check.String(), "bytes", r.bytes)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	delete(p.flying, s.Address)
}
