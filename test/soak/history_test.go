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

// result is what a caller saw of one request.
type result struct {
	id     string
	charge bool
	status int
	body   string
	signed string
	// named is the id that the answer has.
	named string
}

// history has all results of a run.
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

// caller keeps its connections open until they are gone.
var caller = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	ReadTimeout:               3 * time.Second,
}

// send sends one request.
func send(v *cwsite.Gateway, method, path, id string) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + string(v.Callers) + path)
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.SetMethod(method)
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "1500")

	r := result{id: id, charge: method == http.MethodPost}
	if err := caller.DoTimeout(req, resp, 3*time.Second); err != nil {
		return r
	}

	r.status, r.body = resp.StatusCode(), string(resp.Body())
	r.signed, r.named = string(resp.Header.Peek("Response-Seal")), string(resp.Header.Peek("Request-Id"))

	return r
}

// call sends requests until told to stop.
func (w *world) call(n int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(n), 1))

	for {
		select {
		case <-stop:
			return
		default:
		}

		v := w.All[random.IntN(vms)]
		if random.IntN(2) == 0 {
			w.history.add(send(v, http.MethodGet, "/read/a", newID()))
		} else {
			w.history.add(send(v, http.MethodPost, "/charge/a", newID()))
		}
	}
}

// check wants what callers and servers saw to fit the promises.
func (h *history) check(t *testing.T, w *world) {
	t.Helper()

	runs := map[string]int{}

	for _, s := range w.servers {
		for _, r := range s.Runs() {
			runs[r.ID]++
		}
	}

	ended := map[int]int{}

	for _, r := range h.all {
		ended[r.status]++
		h.checkOne(t, r, runs[r.id])
	}

	t.Logf("%d requests, by status %v", len(h.all), ended)

	if ended[http.StatusOK] == 0 {
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
		t.Errorf("%+v is said not to have run, and ran", r)
	case r.status == http.StatusOK && (r.body != "done" || r.signed != "s."+r.id || runs == 0):
		t.Errorf("%+v is no answer of a server", r)
	case r.status != 0 && r.named != r.id:
		t.Errorf("%+v answers another request", r)
	case r.status == http.StatusNotFound:
		t.Errorf("%+v: the route was in each configuration", r)
	}
}
