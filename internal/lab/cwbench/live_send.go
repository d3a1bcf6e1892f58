package cwbench

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/pkg/cwcaller"
)

// LiveVariants returns the variants of a live run: the baselines and the product.
func LiveVariants() []Variant { return append(Baselines(), Variant{Name: nameProduct}) }

// AttachedVariants returns the live variants that need no access to the state of
// the servers.
func AttachedVariants() []Variant {
	return slices.DeleteFunc(LiveVariants(), func(v Variant) bool { return v.Name == nameTruth })
}

// sender returns the function with which a variant sends requests.
func (l *liveRun) sender(v *Variant) sender {
	if v.Policy == nil {
		return productSender(l.scenario.Seed, l.lookup)
	}

	baselines := make([]*baselineClient, l.scenario.VMs)
	for i := range baselines {
		baselines[i] = l.newBaselineClient(v)
	}

	return func(ctx context.Context, a *arrival, id string) outcome {
		return baselines[int(a.selector*float64(len(baselines)))].send(ctx, a, id)
	}
}

// callers is the number of callers that a live run simulates. Each looks up the
// addresses of entry VMs on its own.
const callers = 64

// productSender returns a sender that uses the entry VMs as callers do.
func productSender(seed uint64, lookup []carobward.Address) sender {
	var clients []*cwcaller.Client

	for i := range callers {
		rng := random(seed, uint64(i))
		shuffled := make([]carobward.Address, len(lookup))

		for to, from := range rng.Perm(len(lookup)) {
			shuffled[to] = lookup[from]
		}

		o := cwcaller.Options{Caller: strconv.Itoa(i), Lookup: shuffled, Timeout: liveTimeout, Tries: 1}
		clients = append(clients, cwcaller.New(o, carobward.SystemClock{}))
	}

	return func(ctx context.Context, a *arrival, id string) outcome {
		r := &cwcaller.Request{
			Method: fasthttp.MethodGet, URI: uri(a, id),
			Header: carobward.Header{{Name: carobward.HeaderID, Value: id}},
		}

		reply, err := clients[int(a.selector*callers)].Do(ctx, r)
		if reply == nil {
			return outcomeOf(0, err)
		}

		return outcomeOf(reply.Status, err)
	}
}

// liveTimeout is the timeout of a request whose context has no deadline.
const liveTimeout = 10 * time.Second

// outcomeOf returns the outcome of a request from the status and error with which
// it ended.
func outcomeOf(status int, err error) outcome {
	switch {
	case err == nil && status < fasthttp.StatusInternalServerError:
		return answered
	case err != nil && carobward.VerdictOf(err) == carobward.NotRun:
		return shed
	case errors.Is(err, context.DeadlineExceeded) || status == fasthttp.StatusGatewayTimeout:
		return timedOut
	default:
		return failed
	}
}

// baselineClient replaces an entry VM for a baseline. It has its own table, policy
// and connections.
type baselineClient struct {
	backends []*cwserver.Server
	policy   cwroute.Policy
	link     *cwlink.Link
	tries    int
}

func (l *liveRun) newBaselineClient(v *Variant) *baselineClient {
	var list []carobward.VM
	for _, a := range l.servers {
		list = append(list, carobward.VM{Address: a, Service: service})
	}

	table := cwserver.NewTable()
	table.Update(list)

	o := cwlink.Options{
		MaxConns: max(1, l.scenario.Conns/l.scenario.VMs), IdleTimeout: time.Minute, DialTimeout: time.Second,
		MaxHeaderSize: 4 * carobward.Kilobyte,
	}

	return &baselineClient{
		backends: table.Of(service),
		policy:   v.Policy(&Environment{expectedTime: l.expectedTime}),
		link:     cwlink.New(o, carobward.SystemClock{}),
		tries:    v.Tries,
	}
}

// expectedTime returns the time that one more call would take on a server now, in
// units of the mean work.
func (l *liveRun) expectedTime(server int) float64 {
	s := l.standIns[server]
	held := float64(s.Running() + s.Waiting())
	rounds := max(1, (held+1)/float64(l.scenario.Slots))

	return rounds / s.Rate()
}

// send tries servers until one answers.
func (s *baselineClient) send(ctx context.Context, a *arrival, id string) outcome {
	var tried []*cwserver.Server

	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	last := shed

	for n := range s.tries {
		to := s.policy.Choose(time.Now(), s.backends, tried, rng)
		if to == nil {
			break
		}

		tried = append(tried, to)

		if last = s.attempt(ctx, to, a, id+"~"+strconv.Itoa(n)); last == answered || a.once && last != shed {
			break
		}
	}

	return last
}

func (s *baselineClient) attempt(ctx context.Context, to *cwserver.Server, a *arrival, id string) outcome {
	deadline, _ := ctx.Deadline()
	call := &carobward.Call{
		ID: carobward.RequestID(id), Method: fasthttp.MethodGet, URI: uri(a, id), Host: "bench",
		Deadline: deadline, MaxReply: 4 * carobward.Kilobyte,
	}

	tracked := to.Begin(time.Now())
	reply, err := s.link.Exchange(ctx, to.Address, call)
	o := outcomeOf(status(reply), err)

	if err == nil && reply.Shed {
		o = shed
	}

	tracked.End(time.Now(), tableOutcomes[o])

	if err == nil {
		to.SetReport(reply.Report)
	}

	return o
}

// status returns the status of a reply, or zero if there is no reply.
func status(r *carobward.Reply) int {
	if r == nil {
		return 0
	}

	return r.Status
}
