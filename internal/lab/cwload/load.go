// Package cwload generates constant load on entry VMs, from callers that cache
// lookup replies for as long as they may and never retry.
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
	// Lookup are the lookup addresses, which are tried in order.
	Lookup []carobward.Address
	// Domain is the failure domain of the callers.
	Domain carobward.Domain
	// Callers is the number of callers, each with a lookup reply and
	// connections of its own. Workers is the number of concurrent requests of
	// each.
	Callers, Workers int
	// Read is the path that is read. Charge is the path to which every other
	// worker posts.
	Read, Charge string
}

// The timeouts of a caller.
const (
	// idleTimeout is how long a caller keeps an idle connection. It does not
	// notice that the other side has closed one.
	idleTimeout    = 2 * time.Second
	dialTimeout    = time.Second
	lookupTimeout  = time.Second
	requestTimeout = 10 * time.Second
	// retryDelay is the delay after all lookups have failed.
	retryDelay = 10 * time.Millisecond
)

// maxCauses bounds the recorded causes of failures.
const maxCauses = 3

// Counts are the outcomes of the requests.
type Counts struct {
	// ByVM counts the requests that each entry VM has answered.
	ByVM map[carobward.VMID]int
	// Charged counts the answered requests that charged.
	Charged int64
	// Failed counts the requests without a complete reply of status 200. Causes
	// has the causes of the first ones.
	Failed int
	Causes []string
}

// Load generates load from Start until Stop.
type Load struct {
	options Options
	stop    chan struct{}
	once    sync.Once
	group   conc.WaitGroup

	mutex  sync.Mutex
	sent   int64
	counts Counts
}

// Start begins the load.
func Start(o Options) *Load {
	l := &Load{options: o, stop: make(chan struct{}), counts: Counts{ByVM: map[carobward.VMID]int{}}}

	for i := range o.Callers {
		c := &caller{load: l, name: fmt.Sprintf("caller-%d", i), http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       idleTimeout,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, dialTimeout) },
		}}

		for w := range o.Workers {
			l.group.Go(func() { c.work(w%2 == 0) })
		}
	}

	return l
}

// Stop ends the load once the requests in flight have ended. It may be called
// again.
func (l *Load) Stop() {
	l.once.Do(func() { close(l.stop) })
	l.group.Wait()
}

// Served returns how many requests an entry VM has answered.
func (l *Load) Served(vm carobward.VMID) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.counts.ByVM[vm]
}

// Counts returns the outcomes of the requests. Call it after Stop.
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

// fail counts a request without a complete reply.
func (l *Load) fail(cause string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.Failed++

	if len(l.counts.Causes) < maxCauses {
		l.counts.Causes = append(l.counts.Causes, cause)
	}
}

// answered counts a request with a complete reply.
func (l *Load) answered(by carobward.VMID, charge bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.counts.ByVM[by]++

	if charge {
		l.counts.Charged++
	}
}
