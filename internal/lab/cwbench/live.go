package cwbench

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/lab/cwfleet"
)

// sender sends one request and returns its outcome.
type sender func(ctx context.Context, a *arrival, id string) outcome

// liveRun is a run over sockets. All variants use the same stand-in servers and
// entry VMs, one after the other in short time slices, so that noise of the machine
// affects all of them alike. The schedules of the servers start again with each
// slice.
type liveRun struct {
	scenario Scenario
	// fleet runs in this process. It is nil if the entry VMs and servers are separate
	// processes.
	fleet    *cwfleet.Fleet
	standIns []*cwstand.Server
	servers  []carobward.Address
	lookup   []carobward.Address

	epoch time.Time
	slice time.Duration
	// variants is the number of variants, each of which keeps its own connections.
	variants int
}

// nameProduct is the name of the variant that sends through real entry VMs.
const nameProduct = "product"

// slicePause is the pause between slices.
const slicePause = 700 * time.Millisecond

// liveStart is the timeout for the fleet to become ready.
const liveStart = 30 * time.Second

// Processes are the addresses of entry VMs and stand-in servers that run as
// separate processes.
type Processes struct {
	// Lookup has the lookup addresses of the entry VMs.
	Lookup []carobward.Address
	// Servers has the addresses of the stand-in servers.
	Servers []carobward.Address
}

// Attached runs variants through the scenario on separate processes. The servers
// behave as configured at their start; the number of servers, slots and work of the
// scenario only set the request rate. The entry VMs must have targets for /sheets/
// and /fees/.
func Attached(ctx context.Context, s Scenario, p Processes, variants []Variant, rounds int) ([]*Result, error) {
	if len(p.Lookup) == 0 || len(p.Servers) == 0 {
		return nil, errors.New("bench: want addresses of entry VMs and of servers")
	}

	s.Servers, s.VMs = len(p.Servers), len(p.Lookup)
	if err := s.Validate(); err != nil {
		return nil, err
	}

	l := &liveRun{scenario: s, servers: p.Servers, lookup: p.Lookup, slice: s.end() + slicePause, epoch: time.Now()}

	return l.rounds(ctx, variants, rounds)
}

// Live runs the baselines and the product through the scenario over sockets, for a
// number of rounds, each with another seed. The baselines send directly to the
// servers, without the hop through an entry VM.
func Live(ctx context.Context, s Scenario, variants []Variant, rounds int) ([]*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}

	l := &liveRun{scenario: s, slice: s.end() + slicePause, variants: len(variants)}
	if err := l.start(ctx); err != nil {
		return nil, err
	}

	defer l.fleet.Close()

	return l.rounds(ctx, variants, rounds)
}

func (l *liveRun) rounds(ctx context.Context, variants []Variant, rounds int) ([]*Result, error) {
	var results []*Result

	var senders []sender

	for i := range variants {
		results = append(results, newResult(&l.scenario, &variants[i]))
		senders = append(senders, l.sender(&variants[i]))
	}

	for range rounds {
		arrivals := l.scenario.arrivals()

		for i := range variants {
			if err := l.drive(ctx, senders[i], arrivals, results[i]); err != nil {
				return nil, err
			}
		}

		l.scenario.Seed++
	}

	for _, r := range results {
		r.Quick.quantiles()
		r.Once.quantiles()
	}

	return results, nil
}

func (l *liveRun) start(ctx context.Context) error {
	s := &l.scenario
	l.epoch = time.Now()
	order := s.order()

	fleet, err := cwfleet.New(cwfleet.Options{
		Name: "bench", Domains: domains(s.Domains), VMs: s.VMs, Keep: time.Second,
		Services: []cwfleet.Service{{Name: service, Count: s.Servers, Options: func(i int) cwstand.ServerOptions {
			o := cwstand.ServerOptions{
				Slots: s.Slots, Work: s.Work, Spread: s.Spread, MaxQueue: s.Queue, OpenDelay: s.Open, MaxConns: s.Conns * l.variants,
				Speed: s.speed(i, order), Epoch: l.epoch, SpeedPeriod: l.slice, Delay: s.Between,
			}

			if order[i] < s.Misleading {
				o.ReportLag, o.ReportLie = s.ReportLag, s.ReportLie
			}

			return o
		}}},
	})
	if err != nil {
		return err
	}

	l.fleet = fleet
	l.lookup = fleet.Lookup()
	l.standIns = fleet.Servers[service]

	for _, one := range l.standIns {
		l.servers = append(l.servers, one.Address())
	}

	ctx, cancel := context.WithTimeout(ctx, liveStart)
	defer cancel()

	if err := fleet.Apply(ctx, targets(s)); err != nil {
		fleet.Close()

		return err
	}

	return nil
}

func domains(count int) []carobward.Domain {
	var list []carobward.Domain
	for i := range count {
		list = append(list, carobward.Domain(strconv.Itoa(i)))
	}

	return list
}

// Paths of the requests of a live run.
const (
	pathQuick = "/sheets/"
	pathOnce  = "/fees/"
)

// targets declares the two targets of a scenario.
func targets(s *Scenario) cwconfig.Change {
	const body = 64 * carobward.Kilobyte

	within := carobward.Duration(s.Timeout - 2*s.Client)

	return cwconfig.Change{ID: "bench", Put: []carobward.Target{
		{
			Name: "quick", Service: service, Promise: carobward.Quick, Within: within, Body: body,
			Match: []carobward.Match{{Path: pathQuick}},
		},
		{
			Name: "once", Service: service, Promise: carobward.Once, Within: within, Body: body,
			Match: []carobward.Match{{Path: pathOnce}},
		},
	}, Measure: &cwtarget.Measure{Calls: 100, Bytes: 64 * carobward.Kilobyte}}
}

func uri(a *arrival, id string) string {
	if a.once {
		return pathOnce + id
	}

	return pathQuick + id
}

// drive sends the arrivals of one slice, starting when the schedules of the servers
// start, and waits until all requests have ended.
func (l *liveRun) drive(ctx context.Context, send sender, arrivals []arrival, r *Result) error {
	var (
		group conc.WaitGroup
		mutex sync.Mutex
	)

	before, err := l.counts()
	if err != nil {
		return err
	}

	start := l.epoch.Add(time.Since(l.epoch).Truncate(l.slice) + l.slice)

	for i := range arrivals {
		a := &arrivals[i]
		if err := sleepUntil(ctx, start.Add(a.at)); err != nil {
			break
		}

		group.Go(func() {
			time.Sleep(l.scenario.Client)

			end, cancel := context.WithDeadline(ctx, start.Add(a.at+l.scenario.Timeout-l.scenario.Client))
			defer cancel()

			o := send(end, a, strconv.Itoa(i))
			at := time.Since(start) + l.scenario.Client

			mutex.Lock()
			defer mutex.Unlock()

			r.count(a, o, at)
		})
	}

	group.Wait()

	after, err := l.counts()
	if err != nil {
		return err
	}

	r.Servers = r.Servers.Add(after.Sub(before))

	return errors.Trace(ctx.Err())
}

// sleepUntil waits until a time. It returns at once if the time has passed; the
// latency of the request still counts from its intended start.
func sleepUntil(ctx context.Context, at time.Time) error {
	if left := time.Until(at); left > 0 {
		t := time.NewTimer(left)
		defer t.Stop()

		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}

	return ctx.Err()
}

func (l *liveRun) counts() (cwstand.Counts, error) {
	var sum cwstand.Counts

	for _, a := range l.servers {
		c, err := cwstand.ReadCounts(a)
		if err != nil {
			return sum, err
		}

		sum = sum.Add(c)
	}

	return sum, nil
}
