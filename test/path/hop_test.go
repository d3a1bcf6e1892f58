package path

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// hopMost bounds the times that are recorded.
const hopMost = int64(10 * time.Second)

// hopClient makes calls to one address and records how long they take.
type hopClient struct {
	http   *fasthttp.Client
	url    string
	failed atomic.Int64

	mutex sync.Mutex
	times *hdrhistogram.Histogram
}

func newHopClient(address string) *hopClient {
	const digits = 3

	return &hopClient{
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1 << 10},
		url:   "http://" + address + "/sheets/today",
		times: hdrhistogram.New(1, hopMost, digits),
	}
}

// call makes one call that was due at a time, and counts from then.
func (c *hopClient) call(due time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI(c.url)
	req.Header.Set(carobward.HeaderID, "hop")

	if err := c.http.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		c.failed.Add(1)

		return
	}

	c.mutex.Lock()
	defer c.mutex.Unlock()

	_ = c.times.RecordValue(int64(time.Since(due)))
}

func (c *hopClient) report(b *testing.B, name string) (float64, float64) {
	b.Helper()

	const micro = 1e3

	p50, p99 := float64(c.times.ValueAtPercentile(50))/micro, float64(c.times.ValueAtPercentile(99))/micro
	b.ReportMetric(p50, name+"-p50-µs")
	b.ReportMetric(p99, name+"-p99-µs")

	if n := c.failed.Load(); n > 0 {
		b.Errorf("%s: %d calls failed", name, n)
	}

	return p50, p99
}

// BenchmarkHop compares direct calls with calls by way of one entry VM, all
// separate processes, in pairs of one run. Run it with -benchtime 5000x.
func BenchmarkHop(b *testing.B) {
	f := cwtest.NewFleet(b)
	vm := f.StartVM(b, "vm-1", "Ifrane")
	server := f.StartServer(b, "records", "--work", "1ms", "--slots", "64")

	out, code := cwtest.Run(b, f.Carobward, "apply", "--vm", vm.Operators, cwtest.File(b, "targets.jsonc",
		`{"targets": [{"name": "lookup", "service": "records", "promise": "quick", "match": [{"path": "/sheets"}]}]}`))
	if code != 0 {
		b.Fatal(out)
	}

	f.InForce(b, 1, 1)

	for _, rate := range []int{500, 2000} {
		b.Run(strconv.Itoa(rate), func(b *testing.B) {
			hop(b, rate, server, vm)
		})
	}
}

// hop makes as many direct calls and calls by way of the entry VM a second,
// open-loop, so that a slow call holds up none after it.
func hop(b *testing.B, rate int, server string, entryVM *cwtest.EntryVM) {
	b.Helper()

	direct, entry := newHopClient(server), newHopClient(entryVM.Callers)
	warmUp(b, direct, entry)

	idle := idleShare(b, entryVM.Process)
	pace := time.Second / time.Duration(rate) / 2

	var group sync.WaitGroup

	used := entryVM.Process.Processor(b)
	due := time.Now()

	for b.Loop() {
		for _, c := range []*hopClient{direct, entry} {
			due = due.Add(pace)
			<-time.After(time.Until(due))

			at := due
			group.Go(func() { c.call(at) })
		}
	}

	group.Wait()

	used = entryVM.Process.Processor(b) - used
	used -= time.Duration(idle * float64(b.Elapsed()))

	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "processor-µs/call")
	b.ReportMetric(percent*idle, "idle-%")

	d50, d99 := direct.report(b, "direct")
	e50, e99 := entry.report(b, "entry")

	b.ReportMetric(e50-d50, "added-p50-µs")
	b.ReportMetric(e99-d99, "added-p99-µs")
}

const percent = 100

// idleShare returns the share of a core that a process takes without calls.
func idleShare(b *testing.B, p *cwtest.Process) float64 {
	b.Helper()

	const look = 2 * time.Second

	before := p.Processor(b)

	<-time.After(look)

	return float64(p.Processor(b)-before) / float64(look)
}

// warmUp opens connections and forgets the times.
func warmUp(b *testing.B, clients ...*hopClient) {
	b.Helper()

	const calls = 200

	cwtest.Wait(b, "an answer by way of the entry VM", func() bool {
		for _, c := range clients {
			c.call(time.Now())
		}

		done := true
		for _, c := range clients {
			done = done && c.times.TotalCount() > 0
		}

		return done
	})

	for _, c := range clients {
		for range calls {
			c.call(time.Now())
		}

		c.times.Reset()
		c.failed.Store(0)
	}
}
