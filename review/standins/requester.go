package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// route is one route of the deployment, as requesters know it.
type route struct {
	name, method, prefix, kind string
	limit                      time.Duration
}

// answer is what a requester saw of a request.
type answer struct {
	status int
	seal   bool
	close  bool
	retry  string
	body   string
}

// conn is a requester's kept connection.
type conn struct {
	net.Conn

	address string
	reader  *bufio.Reader
	// used is set once it has carried a request.
	used bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}

	return &conn{Conn: c, address: address, reader: bufio.NewReader(c)}, nil
}

// exchange sends one request and reads its answer.
func (c *conn) exchange(rec *record, id string, rt *route, path string, header, body string) (*answer, error) {
	_ = c.SetDeadline(time.Now().Add(rt.limit))

	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", rt.method, path, host, headerID, id, headerDeadline, rt.limit.Milliseconds(), header)
	if body != "" || rt.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}

	sent := time.Now()
	_, err := io.WriteString(c, text+"\r\n"+body)
	rec.add("sent", "id", id, "to", c.address, "route", rt.name, "path", path, "kept", c.used, "error", err)
	c.used = true

	a, err := c.read(rt.method)
	took := time.Since(sent).Milliseconds()

	switch {
	case err == nil:
		rec.add("answered", "id", id, "status", a.status, "sealed", a.seal, "retry", a.retry, "ms", took)
	case errors.Is(err, os.ErrDeadlineExceeded):
		rec.add("gave up", "id", id, "ms", took)
	default:
		rec.add("cut", "id", id, "error", err, "ms", took)
	}

	return a, err
}

func (c *conn) read(method string) (*answer, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}

	return &answer{
		status: resp.StatusCode, seal: resp.Header.Get(headerSeal) != "", close: resp.Close, retry: resp.Header.Get("Retry-After"), body: string(body),
	}, nil
}

// requester asks where to connect, keeps a connection and sends requests over it, as PROTOCOL.md
// says under "Ingress" and "Answers".
type requester struct {
	rec  *record
	zone string
	// directories are the nodes that serve directory, nearest first.
	directories []string
	// hold is how many times the time of an answer it is kept: 1 or 3.
	hold      int
	addresses []string
	until     time.Time
	conn      *conn
	// failed has the addresses that have failed this requester since the last answer.
	failed map[string]bool
	// kept has the kept connections to directories, or is nil if none is kept.
	kept map[string]*directory
	// body is the body of its requests.
	body string
}

// resolve asks for addresses if the last answer is too old. Without a new answer, the old one is
// kept.
func (q *requester) resolve() {
	if time.Now().Before(q.until) {
		return
	}

	for _, address := range q.directories {
		d := &directory{address: address}
		if q.kept != nil {
			if q.kept[address] == nil {
				q.kept[address] = d
			}

			d = q.kept[address]
		}

		var in struct {
			Addresses []string `json:"addresses"`
			TTL       string   `json:"ttl"`
		}

		status, body, err := d.get(fmt.Sprintf("/api/resolve?name=%s&region=%s&zone=%s", host, region, q.zone))
		if err == nil {
			err = json.Unmarshal([]byte(body), &in)
		}

		if q.kept == nil && d.conn != nil {
			_ = d.conn.Close()
		}

		ttl, terr := time.ParseDuration(in.TTL)
		if err != nil || terr != nil || status != http.StatusOK || len(in.Addresses) == 0 {
			continue
		}

		const ttlMax = 5 * time.Second

		q.addresses, q.failed = in.Addresses, map[string]bool{}
		q.until = time.Now().Add(time.Duration(q.hold) * min(ttl, ttlMax))

		if q.conn != nil && !slices.Contains(q.addresses, q.conn.address) {
			q.drop()
		}

		return
	}
}

func (q *requester) drop() {
	if q.conn != nil {
		_ = q.conn.Close()
	}

	q.conn = nil
}

// connect opens a connection if there is none.
func (q *requester) connect() bool {
	if q.conn != nil {
		return true
	}

	var list []string

	for _, a := range q.addresses {
		if !q.failed[a] {
			list = append(list, a)
		}
	}

	if len(list) == 0 {
		return false
	}

	a := list[rand.IntN(len(list))]

	c, err := dial(a)
	if err != nil {
		q.failed[a] = true

		return false
	}

	q.conn = c

	return true
}

// send sends one request.
func (q *requester) send(rt *route) {
	q.resolve()

	if !q.connect() {
		return
	}

	id := newID()

	a, err := q.conn.exchange(q.rec, id, rt, rt.prefix+strings.ToLower(id[:2]), "", q.body)
	if err != nil || a.close {
		q.drop()
	}
}

// mix has the routes of the site's requests, as often as they are used.
var mix = []*route{&lookup, &lookup, &lookup, &reconcile, &reconcile, &charge}

// run sends requests of some routes until done is closed, each after a pause.
func (q *requester) run(done <-chan struct{}, least, spread time.Duration, mix ...*route) {
	pause := rand.N(least + spread)

	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}

		q.send(mix[rand.IntN(len(mix))])

		pause = least + rand.N(spread)
	}
}
