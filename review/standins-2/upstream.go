package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for a backend server: it runs as many requests at once as it has
// slots, queues some, and refuses the others. It echoes what the pages say.
type upstream struct {
	id, service, addr string
	zone              string
	born              int64
	slots, queue      int
	record            *record
	work              func(path string) time.Duration
	body              func(path string) []byte
	// extra says for how long the second copy of an answer is held back, or false if there is
	// none.
	extra func(refusal bool) (time.Duration, bool)

	listener net.Listener

	mutex            sync.Mutex
	running, waiting int
	conns            []net.Conn
	turn             chan struct{}
}

func newUpstream(rec *record, ip, id, service string, slots, queue int) (*upstream, error) {
	u := &upstream{
		id: id, service: service, zone: "hall", born: time.Now().UnixMilli(), slots: slots, queue: queue, record: rec,
		turn: make(chan struct{}, slots),
		work: func(string) time.Duration { return 20 * time.Millisecond },
		body: func(path string) []byte { return []byte("whole answer of " + path) },
	}

	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}

	u.addr, u.listener = ln.Addr().String(), ln

	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			u.mutex.Lock()
			u.conns = append(u.conns, c)
			u.mutex.Unlock()

			go u.serve(c)
		}
	}()

	return u, nil
}

// exit ends the server's process: its connections are reset.
func (u *upstream) exit() {
	_ = u.listener.Close()

	u.mutex.Lock()
	defer u.mutex.Unlock()

	for _, c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}

		_ = c.Close()
	}
}

// load returns the value of Upstream-Load.
func (u *upstream) load() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	return fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots)
}

// enter takes a slot, after some time in the queue if need be, and reports whether the
// request may run.
func (u *upstream) enter() bool {
	u.mutex.Lock()
	if u.running+u.waiting >= u.slots+u.queue {
		u.mutex.Unlock()

		return false
	}

	u.waiting++
	u.mutex.Unlock()

	u.turn <- struct{}{}

	u.mutex.Lock()
	u.waiting--
	u.running++
	u.mutex.Unlock()

	return true
}

func (u *upstream) leave() {
	u.mutex.Lock()
	u.running--
	u.mutex.Unlock()

	<-u.turn
}

// upconn is one connection to the server.
type upconn struct {
	net.Conn

	mutex sync.Mutex
}

func (c *upconn) send(raw []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	_, err := c.Write(raw)

	return err
}

func (u *upstream) serve(raw net.Conn) {
	c := &upconn{Conn: raw}
	defer c.Close()

	r := bufio.NewReader(raw)

	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}

		if err := u.answer(c, req, body); err != nil {
			return
		}
	}
}

func (u *upstream) answer(c *upconn, req *http.Request, body []byte) error {
	if req.URL.Path == "/health" {
		return c.send([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nUpstream-Load: %s\r\nContent-Length: 0\r\n\r\n", u.id, u.load())))
	}

	id := req.Header.Get("Request-Id")

	if want := req.Header.Get("Expect-Instance"); want != "" && want != u.id {
		return c.send([]byte(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)))
	}

	if !u.enter() {
		u.record.add("refused", id, u.id, "")

		answer := []byte(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nUpstream-Load: %s\r\nContent-Length: 0\r\n\r\n", u.load()))

		return u.sendAnswer(c, answer, true, id)
	}

	u.record.add("runs", id, u.id, string(body))

	work := u.work(req.URL.Path)
	late := false

	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil && work > time.Duration(ms)*time.Millisecond {
		work, late = time.Duration(ms)*time.Millisecond, true
	}

	time.Sleep(work)
	u.leave()

	status, text := "200 OK", u.body(req.URL.Path)
	if late {
		status, text = "504 Gateway Timeout", nil
	}

	u.record.add("ran", id, u.id, status)

	answer := fmt.Appendf(nil, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: s.%s.%d\r\nUpstream-Load: %s\r\nContent-Length: %d\r\n\r\n", status, id, id, len(text), u.load(), len(text))

	return u.sendAnswer(c, append(answer, text...), false, id)
}

// sendAnswer sends an answer and, if that is due, a second copy of it later.
func (u *upstream) sendAnswer(c *upconn, answer []byte, refusal bool, id string) error {
	err := c.send(answer)

	if u.extra == nil || err != nil {
		return err
	}

	if after, ok := u.extra(refusal); ok {
		u.record.add("second copy is sent later", id, u.id, after.String())
		time.AfterFunc(after, func() { _ = c.send(answer) })
	}

	return nil
}
