package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwsite"
)

const host = "club.example"

// result is the outcome of a request as its caller sees it.
type result struct {
	id     string
	sent   time.Time
	charge bool
	status int
	body   string
	seal   string
	// replyID is the request ID in the reply.
	replyID string
	// retryAfter is when the caller may come back after a refusal, or 0.
	retryAfter time.Duration
}

// history has the results of all requests of a run.
type history struct {
	mutex sync.Mutex
	all   []result
}

func newHistory() *history { return &history{} }

func (h *history) add(r result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	h.all = append(h.all, r)
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// caller is the HTTP client of all callers. It never retries.
var caller = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	ReadTimeout:               3 * time.Second,
}

// send sends a request through an entry VM.
func send(v *cwsite.EntryVM, method, path, id string) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(v.Callers) + path)
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.SetMethod(method)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1500")

	r := result{id: id, sent: time.Now(), charge: method == http.MethodPost}
	if err := caller.DoTimeout(req, resp, 3*time.Second); err != nil {
		return r
	}

	r.status, r.body = resp.StatusCode(), string(resp.Body())
	r.seal, r.replyID = string(resp.Header.Peek("Response-Seal")), string(resp.Header.Peek("Request-Id"))

	if seconds, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
		r.retryAfter = min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
	}

	return r
}

// maxRetryAfter bounds how long a caller waits after a refusal.
const maxRetryAfter = 500 * time.Millisecond

// sendRequests sends random requests until stop is closed. The first caller comes back at once
// after a refusal, the others when they are told to.
func (w *world) sendRequests(n int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(n), 1))

	for {
		select {
		case <-stop:
			return
		default:
		}

		method, path := http.MethodGet, "/read/a"
		if random.IntN(2) == 0 {
			method, path = http.MethodPost, "/charge/a"
		}

		r := send(w.VMs[random.IntN(vms)], method, path, newID())
		w.history.add(r)

		if n > 0 && r.retryAfter > 0 {
			<-time.After(r.retryAfter)
		}
	}
}

// check compares each result with the runs at the servers: they must fit the guarantees
// given to callers.
func (h *history) check(t *testing.T, w *world) {
	t.Helper()

	runs := map[string]int{}

	for _, s := range w.servers {
		for _, r := range s.Runs() {
			runs[r.ID]++
		}
	}

	byStatus := map[int]int{}

	for _, r := range h.all {
		byStatus[r.status]++
		h.checkOne(t, r, runs[r.id])
	}

	t.Logf("%d requests, by status %v", len(h.all), byStatus)
	h.checkExtraCalls(t, w.servers)

	if byStatus[http.StatusOK] == 0 {
		t.Error("no request was served")
	}
}

func (h *history) checkOne(t *testing.T, r result, runs int) {
	t.Helper()

	const attempts = 2

	switch {
	case r.charge && runs > 1:
		t.Errorf("%+v ran %d times", r, runs)
	case runs > attempts:
		t.Errorf("%+v ran %d times", r, runs)
	case r.charge && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && runs > 0:
		t.Errorf("%+v was answered as not run, but ran", r)
	case r.status == http.StatusOK && (r.body != "done" || r.seal != "s."+r.id || runs == 0):
		t.Errorf("%+v is not the reply of a server that ran it", r)
	case r.status != 0 && r.replyID != r.id:
		t.Errorf("%+v is the reply to another request", r)
	case r.status == http.StatusNotFound:
		t.Errorf("%+v: no route was found, although each configuration has one", r)
	}
}
