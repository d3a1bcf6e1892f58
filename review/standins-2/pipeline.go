package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline has callers that send further idempotent requests before the first one has been
// answered, over links of 40 Mbit/s with small windows. With the disruption, the entry VMs are
// stopped by SIGTERM and started again, one after the other.
func pipeline(rec *record) (verdict, error) {
	const (
		vms     = 2
		callers = 12
		calm    = 5 * time.Second
		length  = 26 * time.Second
		size    = 30_000
	)

	s, err := newSite(rec, vms, func(s *site) error {
		s.store.put("op/config", configuration(1, []string{"sheets"}, route{
			Name: "lookup", Prefix: "/lookup/", Kind: "safe", Timeout: "2000ms", Latency: "600ms", Service: "sheets", MaxAttempts: 2,
		}))

		for i := range 4 {
			u, err := newUpstream(rec, s.ip(4, i+1), fmt.Sprintf("i-sheets-%d", i+1), "sheets", 8, 4)
			if err != nil {
				return err
			}

			body := make([]byte, size)
			for i := range body {
				body[i] = 'a' + byte(i%26)
			}

			u.work = func(string) time.Duration { return time.Duration(80+rand.IntN(80)) * time.Millisecond }
			u.body = func(string) []byte { return body }
			s.store.put("servers/"+u.id, entry(u, "ready"))
		}

		return nil
	})
	defer s.close()

	if err != nil {
		return verdict{}, err
	}

	rec.restart()

	var group sync.WaitGroup

	end := time.Now().Add(length)
	plan := newPlan(vms)

	for i := range callers {
		p := &pipeliner{name: fmt.Sprintf("caller-%d", i+1), record: rec}

		group.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				p.run(plan.pick(n), s.vms)
			}
		})
	}

	if trouble() {
		time.Sleep(calm)

		for i, v := range s.vms {
			plan.leave(i)
			rec.add("SIGTERM", "", v.name, "")
			v.signal(syscall.SIGTERM)
			v.awaitEnd(grace)
			rec.add("ended", "", v.name, "")

			if err := v.start(); err != nil {
				return verdict{}, err
			}

			if !v.awaitReady(5 * time.Second) {
				return verdict{}, fmt.Errorf("%s is not ready again", v.name)
			}

			plan.join(i)
			rec.add("ready again", "", v.name, "")
		}
	}

	group.Wait()

	return judgeWhole(rec), nil
}

// addressTime is for how long callers go on using an entry VM that is stopping: they keep the
// address answer for that long.
const addressTime = 1200 * time.Millisecond

// plan says which entry VMs callers may use.
type plan struct {
	mutex sync.Mutex
	until []time.Time
}

func newPlan(n int) *plan { return &plan{until: make([]time.Time, n)} }

func (p *plan) leave(i int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.until[i] = time.Now().Add(addressTime)
}

func (p *plan) join(i int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.until[i] = time.Time{}
}

// pick returns the number of an entry VM to use.
func (p *plan) pick(n int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for i := range p.until {
		at := (n + i) % len(p.until)
		if p.until[at].IsZero() || time.Now().Before(p.until[at]) {
			return at
		}
	}

	return n % len(p.until)
}

// pipeliner is a caller that sends requests before the earlier ones have been answered.
type pipeliner struct {
	name   string
	record *record
}

const (
	// depth is how many requests are sent on a connection before the first one is answered,
	// and waitTime how long the caller waits for each.
	depth    = 3
	waitTime = 1500 * time.Millisecond
	// rounds is how often a connection is used.
	rounds = 6
)

func (p *pipeliner) run(at int, vms []*vm) {
	d := net.Dialer{Timeout: time.Second, Control: smallWindow}

	c, err := d.Dial("tcp", vms[at].front())
	if err != nil {
		time.Sleep(50 * time.Millisecond)

		return
	}

	defer c.Close()

	r := bufio.NewReader(&slowLink{c})

	for range rounds {
		if !p.round(c, r, vms[at].name) {
			return
		}
	}
}

// round sends some requests, one soon after the other, and reads their answers. It reports
// whether the connection stays open.
func (p *pipeliner) round(c net.Conn, r *bufio.Reader, vm string) bool {
	var ids []string

	for range depth {
		ids = append(ids, newID())
	}

	_ = c.SetDeadline(time.Now().Add(waitTime + 500*time.Millisecond))

	go func() {
		for _, id := range ids {
			p.record.add("sent", id, p.name, vm)

			if _, err := c.Write(requestText(http.MethodGet, "/lookup/"+id, id, waitTime, nil)); err != nil {
				return
			}

			time.Sleep(25 * time.Millisecond)
		}
	}()

	for i, id := range ids {
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			p.record.add("no answer", id, p.name, fmt.Sprintf("place %d at %s: %v", i+1, vm, err))

			return false
		}

		text, err := io.ReadAll(answer.Body)
		if err != nil {
			p.record.add("answer cut", id, p.name, fmt.Sprintf("place %d at %s: status %d, %d of %d bytes: %v", i+1, vm, answer.StatusCode, len(text), answer.ContentLength, err))

			return false
		}

		p.record.add("answered", id, p.name, fmt.Sprintf("%d by %s, close %v", answer.StatusCode, vm, answer.Close))

		if answer.Close {
			return false
		}
	}

	return true
}

// smallWindow gives a connection a small receive window.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	const bytes = 4 << 10

	var err error

	if e := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}); e != nil {
		return e
	}

	return err
}

// slowLink reads from a connection at 40 Mbit/s.
type slowLink struct{ net.Conn }

func (s *slowLink) Read(into []byte) (int, error) {
	const (
		part = 4 << 10
		each = 800 * time.Microsecond
	)

	time.Sleep(each)

	return s.Conn.Read(into[:min(part, len(into))])
}

// judgeWhole judges LOST: a request was passed on to a server and its connection ended without
// a complete answer.
func judgeWhole(rec *record) verdict {
	ran := map[string]bool{}
	for _, l := range rec.of("ran") {
		ran[l.id] = true
	}

	cut, none := 0, 0

	for _, l := range rec.of("answer cut") {
		if ran[l.id] {
			cut++
		}
	}

	for _, l := range rec.of("no answer") {
		if ran[l.id] {
			none++
		}
	}

	return verdict{
		broken: cut+none > 0,
		text: fmt.Sprintf("of %d requests that servers answered, %d answers were cut and %d did not come at all, %d were whole",
			len(ran), cut, none, len(rec.of("answered"))),
	}
}
