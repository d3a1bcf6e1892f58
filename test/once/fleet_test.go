// Package once tests at-most-once execution while entry VMs, which run as separate
// processes, are killed, paused and stopped during the work.
package once

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtest"
)

// server is a backend server that counts runs by request body and can hold its replies
// back.
type server struct {
	address string

	mutex   sync.Mutex
	runs    map[string]int
	hold    chan struct{}
	started chan string
}

func newServer(t *testing.T) *server {
	s := &server{runs: map[string]int{}, started: make(chan string, 64)}
	s.address = string(cwtest.ServeHTTP(t, s.handle))

	return s
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	body := string(ctx.PostBody())

	s.mutex.Lock()
	s.runs[body]++
	hold := s.hold
	s.mutex.Unlock()

	if hold != nil {
		s.started <- body
		<-hold
	}

	ctx.Response.Header.Set(carobward.HeaderID, string(ctx.Request.Header.Peek(carobward.HeaderID)))
	ctx.SetBodyString("charged " + body)
}

// holdBack delays replies until the returned function is called.
func (s *server) holdBack(t *testing.T) func() {
	c := make(chan struct{})

	s.mutex.Lock()
	s.hold = c
	s.mutex.Unlock()

	release := sync.OnceFunc(func() {
		s.mutex.Lock()
		s.hold = nil
		s.mutex.Unlock()
		close(c)
	})
	t.Cleanup(release)

	return release
}

func (s *server) ran(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.runs[body]
}

// fleet is a set of entry VMs with a platform and one server.
type fleet struct {
	*cwtest.Fleet
	server *server
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (f *fleet) at(i int) *cwtest.EntryVM { return f.VMs[vmName(i)] }

// newFleet starts entry VMs and waits until all of them have the targets.
func newFleet(t *testing.T, size int) *fleet {
	t.Helper()

	f := &fleet{cwtest.NewFleet(t), newServer(t)}
	f.AddServer(t, "billing", f.server.address)

	for i := range size {
		f.StartVM(t, vmName(i), "Ifrane")
	}

	f.PublishList(t)

	targets := cwtest.File(t, "targets.jsonc", `{"targets": [{"name": "launch-fee", "service": "billing",
		"promise": "once", "match": [{"method": "POST", "path": "/fees"}], "within": "20s"}]}`)
	if out, code := cwtest.Run(t, f.Carobward, "apply", "--vm", f.at(0).Operators, targets); code != 0 {
		t.Fatalf("apply: exit code %d\n%s", code, out)
	}

	f.WaitRevision(t, 1, size)

	return f
}

// replace kills an entry VM and starts another one on the same addresses.
func (f *fleet) replace(t *testing.T, i int) {
	t.Helper()

	old := f.at(i)
	old.Process.Signal(t, syscall.SIGKILL)
	_ = old.Process.Wait(t)
	f.StartVMAt(t, vmName(i), *old)
}

// reply has the parts of a reply that the tests check.
type reply struct {
	verdict, ticket, body string
	status                int
	retry                 bool
}

// send charges a fee through an entry VM.
func (f *fleet) send(i int, body, ticket string) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.at(i).Callers + "/fees")
	req.SetBodyString(body)
	req.Header.Set(carobward.HeaderTicket, ticket)

	c := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := c.DoTimeout(req, resp, cwtest.MaxWait); err != nil {
		return reply{verdict: "none", ticket: ticket}
	}

	return reply{
		verdict: string(resp.Header.Peek(carobward.HeaderVerdict)),
		ticket:  string(resp.Header.Peek(carobward.HeaderTicket)),
		body:    string(resp.Body()),
		status:  resp.StatusCode(),
		retry:   len(resp.Header.Peek(carobward.HeaderRetryAfter)) > 0,
	}
}

// prefix gets a ticket prefix from the first entry VM's lookup endpoint.
func (f *fleet) prefix(t *testing.T) string {
	t.Helper()

	var a struct {
		Ticket string `json:"ticket"`
	}

	status, body, err := fasthttp.Get(nil, "http://"+f.at(0).Lookup+"/addresses?caller=c&domain=Ifrane")
	if err != nil || status != fasthttp.StatusOK {
		t.Fatalf("lookup: %v, status %d", err, status)
	}

	if err := json.Unmarshal(body, &a); err != nil || strings.Contains(a.Ticket, ".") || a.Ticket == "" {
		t.Fatalf("lookup: %v, %s", err, body)
	}

	return a.Ticket
}
