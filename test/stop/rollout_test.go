package stop

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/platform"
)

var (
	rollOutVMs     = flag.Int("vms", 2, "how many entry VMs are stopped and started in turn")
	rollOutCallers = flag.Int("callers", 40, "how many callers there are for each entry VM")
	rollOutDelay   = flag.Duration("delay", 0, "the one-way delay of the links to entry VMs, whose machines then go with their processes")
)

// links are those to the entry VMs that run.
type links struct {
	mutex sync.Mutex
	open  map[carobward.Address]*cwstand.Link
}

// renew replaces the link to an entry VM whose machine has gone.
func (l *links) renew(t *testing.T, to carobward.Address) {
	t.Helper()

	if *rollOutDelay == 0 {
		return
	}

	link := cwstand.NewLink(cwtest.Listen(t), to, cwstand.LinkShape{Delay: *rollOutDelay})
	t.Cleanup(link.Close)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	if old := l.open[to]; old != nil {
		old.Gone()
	}

	l.open[to] = link
}

// via returns the address of the link to an entry VM, empty if there is none.
func (l *links) via(to carobward.Address) carobward.Address {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if link := l.open[to]; link != nil {
		return link.Address()
	}

	return ""
}

// The load of a roll-out.
const (
	serversPerVM = 8
	maxServers   = 64
	rollOutGrace = 6 * time.Second
	rollOutGap   = time.Second
	// Callers pause between two requests so that most connections are idle when a stop begins.
	pauseLeast  = 5 * time.Second
	pauseSpread = 1500 * time.Millisecond
	// longestHold is how many times its lifetime some callers use a lookup reply.
	longestHold = 3
)

// caller looks up which entry VM to use, keeps the answer for some time and a connection for longer.
type caller struct {
	play  *play
	links *links
	// hold is how many times its lifetime a lookup reply is used.
	hold      int
	addresses []carobward.Address
	until     time.Time
	// kept has the connection that is used again, or none.
	kept request
}

// lookup asks entry VMs for addresses if the last answer is too old, and leaves an entry VM that a new
// answer does not name.
func (c *caller) lookup() {
	if time.Now().Before(c.until) {
		return
	}

	const tries = 3

	for _, i := range rand.Perm(len(c.play.VMs))[:min(tries, len(c.play.VMs))] {
		status, raw, err := fasthttp.GetTimeout(nil, "http://"+string(c.play.VMs[i].Lookup)+platform.PathLookup+"?name="+host+"&zone=zone-1", time.Second)

		var got struct {
			Addresses []carobward.Address `json:"addresses"`
			TTL       string              `json:"ttl"`
		}

		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(raw, &got) != nil {
			continue
		}

		ttl, _ := time.ParseDuration(got.TTL)
		c.addresses, c.until = got.Addresses, time.Now().Add(time.Duration(c.hold)*ttl)

		if !slices.Contains(c.addresses, c.kept.to) {
			c.drop()
		}

		return
	}
}

func (c *caller) drop() {
	c.kept.close()
	c.kept = request{}
}

// dropClosed drops the kept connection if the entry VM has closed it.
func (c *caller) dropClosed() {
	if c.kept.conn != nil && cwsocket.Peek(c.kept.conn) != cwsocket.Idle {
		c.drop()
	}
}

// send sends one request and returns it, or nil if no entry VM is known.
func (c *caller) send(id carobward.RequestID) *request {
	c.lookup()
	c.dropClosed()

	if c.kept.conn == nil && len(c.addresses) == 0 {
		return nil
	}

	r := &request{id: id, method: http.MethodPost, path: "/medium/unsafe/", use: onIdle, to: c.kept.to, conn: c.kept.conn, reader: c.kept.reader, timeout: timeout}
	if r.conn == nil {
		r.to = c.addresses[rand.IntN(len(c.addresses))]
	}

	r.via = c.links.via(r.to)
	r.send()
	c.kept = request{to: r.to, conn: r.conn, reader: r.reader}

	if r.err != nil || r.reply.closes {
		c.drop()
	}

	return r
}

// TestRollOut guards against requests that are lost while all entry VMs are stopped and started in turn.
// It logs how many were answered, refused and not read.
func TestRollOut(t *testing.T) {
	t.Parallel()

	p := newPlay(t, rollOutGrace, min(maxServers, *rollOutVMs*serversPerVM), *rollOutVMs)
	p.stops = nil // Those that have started again don't close connections.
	l := &links{open: map[carobward.Address]*cwstand.Link{}}

	for _, v := range p.VMs {
		l.renew(t, v.Callers)
	}

	var (
		group sync.WaitGroup
		mutex sync.Mutex
	)

	done := make(chan struct{})

	for i := range *rollOutCallers * *rollOutVMs {
		group.Go(func() {
			c := &caller{play: p, links: l, hold: 1 + i%2*(longestHold-1)}
			defer c.drop()

			pause := rand.N(pauseLeast + pauseSpread)

			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}

				if r := c.send(carobward.RequestID(fmt.Sprintf("c%d-%d", i, n))); r != nil {
					mutex.Lock()
					p.requests = append(p.requests, r)
					mutex.Unlock()
				}

				pause = pauseLeast + rand.N(pauseSpread)
			}
		})
	}

	<-time.After(pauseLeast + pauseSpread)

	p.stopped = time.Now()
	signals := map[carobward.Address]time.Duration{}

	var restarts sync.WaitGroup

	for _, v := range p.VMs {
		signals[v.Callers] = time.Since(p.stopped)
		v.Process().Signal(t, syscall.SIGTERM)
		restarts.Go(func() {
			if err := v.Process().Wait(t); err != nil {
				t.Errorf("%s ended with %v", v.ID, err)
			}

			l.renew(t, v.Callers)
			p.Restart(t, v)
		})
		<-time.After(rollOutGap)
	}

	restarts.Wait()

	for _, v := range p.VMs {
		cwtest.Wait(t, v.ID+" is ready", v.IsReady)
	}

	<-time.After(pauseSpread)
	close(done)
	group.Wait()

	for _, r := range p.requests {
		r.signal = signals[r.to]
	}

	p.check(t)
}
