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

// LiveVariants returns the baselines and the product, for a live run.
func LiveVariants() []Variant { return append(Baselines(), Variant{Name: nameProduct}) }

// AttachedVariants returns those that need not see into the servers.
func AttachedVariants() []Variant {
	return slices.DeleteFunc(LiveVariants(), func(v Variant) bool { return v.Name == nameTruth })
}

// sender returns how a variant sends requests.
func (l *live) sender(v *Variant) sender {
	if v.Policy == nil {
		return productSender(l.scenario.Seed, l.lookup)
	}

	stacks := make([]*stack, l.scenario.VMs)
	for i := range stacks {
		stacks[i] = l.stack(v)
	}

	return func(ctx context.Context, a *arrival, id string) outcome {
		return stacks[int(a.spot*float64(len(stacks)))].send(ctx, a, id)
	}
}

// callers is how many callers a live run stands for: each asks on its own
// which addresses to use.
const callers = 64

// productSender sends as callers of the entry VMs do.
func productSender(seed uint64, lookup []carobward.Address) sender {
	var clients []*cwcaller.Client

	for i := range callers {
		rng := random(seed, uint64(i))
		mine := make([]carobward.Address, len(lookup))

		for to, from := range rng.Perm(len(lookup)) {
			mine[to] = lookup[from]
		}

		o := cwcaller.Options{Caller: strconv.Itoa(i), Lookup: mine, Timeout: liveTimeout, Tries: 1}
		clients = append(clients, cwcaller.New(o, carobward.SystemClock{}))
	}

	return func(ctx context.Context, a *arrival, id string) outcome {
		r := &cwcaller.Request{
			Method: fasthttp.MethodGet, URI: uri(a, id),
			Header: carobward.Header{{Name: carobward.HeaderID, Value: id}},
		}

		reply, err := clients[int(a.spot*callers)].Do(ctx, r)
		if reply == nil {
			return ended(0, err)
		}

		return ended(reply.Status, err)
	}
}

// liveTimeout bounds a request whose context has no deadline.
const liveTimeout = 10 * time.Second

// ended tells how a request ended.
func ended(status int, err error) outcome {
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

// stack is what a baseline has in place of an entry VM: a table, a policy
// and connections of its own.
type stack struct {
	rows   []*cwserver.Server
	policy cwroute.Policy
	link   *cwlink.Link
	tries  int
}

func (l *live) stack(v *Variant) *stack {
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

	return &stack{
		rows:   table.Of(service),
		policy: v.Policy(&World{expect: l.expect}),
		link:   cwlink.New(o, carobward.SystemClock{}),
		tries:  v.Tries,
	}
}

// expect is the time that one more call would take on a server now.
func (l *live) expect(server int) float64 {
	s := l.stands[server]
	held := float64(s.Running() + s.Waiting())
	turns := max(1, (held+1)/float64(l.scenario.Slots))

	return turns / s.Rate()
}

// send tries servers until one answers.
func (s *stack) send(ctx context.Context, a *arrival, id string) outcome {
	var tried []*cwserver.Server

	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	last := shed

	for n := range s.tries {
		to := s.policy.Choose(time.Now(), s.rows, tried, rng)
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

func (s *stack) attempt(ctx context.Context, to *cwserver.Server, a *arrival, id string) outcome {
	deadline, _ := ctx.Deadline()
	call := &carobward.Call{
		ID: carobward.RequestID(id), Method: fasthttp.MethodGet, URI: uri(a, id), Host: "bench",
		Deadline: deadline, MaxReply: 4 * carobward.Kilobyte,
	}

	noted := to.Begin(time.Now())
	reply, err := s.link.Exchange(ctx, to.Address, call)
	o := ended(status(reply), err)

	if err == nil && reply.Shed {
		o = shed
	}

	noted.End(time.Now(), seen[o])

	if err == nil {
		to.SetReport(reply.Report)
	}

	return o
}

// status is that of a reply, or zero if there is none.
func status(r *carobward.Reply) int {
	if r == nil {
		return 0
	}

	return r.Status
}
