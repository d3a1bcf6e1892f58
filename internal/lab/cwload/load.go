// Package cwload puts constant load on entry VMs, as callers do that hold
// address answers for as long as they may and never try again.
package cwload

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Options describe the load.
type Options struct {
	// Lookup are the lookup addresses that are asked in turn.
	Lookup []carobward.Address
	// Domain is the failure domain of the callers.
	Domain carobward.Domain
	// Callers is their number, each with its own answer and connections,
	// and Workers how many requests each has out at once.
	Callers, Workers int
	// Read is the path that is read, Charge the one that every other worker
	// posts to.
	Read, Charge string
}

// The times of a caller.
const (
	// idleMost is how long a caller keeps an idle connection. It does not
	// notice that the other side has closed one.
	idleMost    = 2 * time.Second
	dialMost    = time.Second
	lookupMost  = time.Second
	requestMost = 10 * time.Second
	// rest is the pause after all lookups have failed.
	rest = 10 * time.Millisecond
)

// firstMost bounds the causes that are kept.
const firstMost = 3

// Counts are what has become of the requests.
type Counts struct {
	// By counts the requests that each entry VM has answered.
	By map[carobward.VMID]int
	// Charged counts the answered ones that charged.
	Charged int64
	// Cut counts those without a whole reply with status 200, First has the
	// causes of the first ones.
	Cut   int
	First []string
}

// Load is load that is being put on.
type Load struct {
	options Options
	stop    chan struct{}
	once    sync.Once
	group   conc.WaitGroup

	mutex  sync.Mutex
	sent   int64
	counts Counts
}

// Start begins the load. Stop ends it.
func Start(o Options) *Load {
	l := &Load{options: o, stop: make(chan struct{}), counts: Counts{By: map[carobward.VMID]int{}}}

	for i := range o.Callers {
		c := &caller{load: l, name: fmt.Sprintf("caller-%d", i), http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       idleMost,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, dialMost) },
		}}

		for w := range o.Workers {
			l.group.Go(func() { c.work(w%2 == 0) })
		}
	}

	return l
}

// Stop ends the load, after the requests that are out. It may be called again.
func (l *Load) Stop() {
	l.once.Do(func() { close(l.stop) })
	l.group.Wait()
}

// Served returns how many requests an entry VM has answered.
func (l *Load) Served(vm carobward.VMID) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.counts.By[vm]
}

// Counts returns what has become of the requests, after Stop.
func (l *Load) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.counts
}

// body returns the body of the next request that charges.
func (l *Load) body() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sent++

	return fmt.Sprint("launch ", l.sent)
}

// cut counts a request without a whole reply.
func (l *Load) cut(cause string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.Cut++

	if len(l.counts.First) < firstMost {
		l.counts.First = append(l.counts.First, cause)
	}
}

// answered counts a request with a whole reply.
func (l *Load) answered(by carobward.VMID, charge bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.By[by]++

	if charge {
		l.counts.Charged++
	}
}
