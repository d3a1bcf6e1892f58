package cwentry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwclose"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwowner"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwroute"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwticket"
)

// maxBodyMemory bounds the memory of bodies in bytes: two of the maximum size.
const maxBodyMemory = 128

// maxKeptCalls is the maximum number of calls that fakeServers records.
const maxKeptCalls = 100

// fakeServers is a carobward.Servers that answers with a function and records
// the calls.
type fakeServers struct {
	answer answerFunc
	count  atomic.Int64

	mutex sync.Mutex
	calls []carobward.Call
	// to counts the calls of each server; nil counts nothing.
	to map[carobward.Address]int
}

type answerFunc func(ctx context.Context, c *carobward.Call) (*carobward.Reply, error)

func (f *fakeServers) Exchange(ctx context.Context, to carobward.Address, c *carobward.Call) (*carobward.Reply, error) {
	f.count.Add(1)
	f.mutex.Lock()

	if f.to != nil {
		f.to[to]++
	}

	f.calls = append(f.calls[:min(len(f.calls), maxKeptCalls)], *c)
	f.mutex.Unlock()

	return f.answer(ctx, c)
}

func (f *fakeServers) received() []carobward.Call {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return append([]carobward.Call(nil), f.calls...)
}

// echo replies with the call's method, URI and body.
func echo(_ context.Context, c *carobward.Call) (*carobward.Reply, error) {
	return &carobward.Reply{Status: 200, Body: []byte(c.Method + " " + c.URI + "\n" + string(c.Body.Bytes()))}, nil
}

var testTargets = []carobward.Target{
	{
		Name: "lookup", Service: "records", Promise: carobward.Quick, Match: []carobward.Match{{Path: "/sheets"}},
		Within: carobward.Duration(time.Minute), Body: 64,
	},
	{
		Name: "fee", Service: "records", Promise: carobward.Once, Match: []carobward.Match{{Path: "/fees"}},
		Within: carobward.Duration(time.Minute), Body: 64,
	},
	{
		Name: "nowhere", Service: "none", Promise: carobward.Quick, Match: []carobward.Match{{Path: "/none"}},
		Within: carobward.Duration(time.Minute), Body: 64,
	},
}

// newForwarder returns a Forwarder with one server.
func newForwarder(servers carobward.Servers, calls int) *Forwarder {
	return newForwarderOf(1, calls, cwroute.TwoChoices{}, servers)
}

// newForwarderOf returns a Forwarder with count servers.
func newForwarderOf(count, calls int, policy cwroute.Policy, servers carobward.Servers) *Forwarder {
	holder := cwconfig.NewHolder()
	holder.Adopt(&cwconfig.Config{Revision: 1, Set: cwtarget.Set{Targets: testTargets}})

	table := cwserver.NewTable()

	var list []carobward.VM
	for i := range count {
		list = append(list, carobward.VM{Address: carobward.Address(fmt.Sprintf("127.0.0.1:%d", i+1)), Service: "records"})
	}

	table.Update(list)

	limits := cwticket.Options{Horizon: time.Minute, Records: 100, Bytes: carobward.Megabyte}
	peers := cwpeer.NewTable(carobward.Peer{ID: "vm-1", Incarnation: 1})

	owner, err := cwowner.New(limits, peers, cwpeer.NewClients(nil), carobward.SystemClock{}, logr.Discard())
	if err != nil {
		panic(err)
	}

	return New(Options{VM: "vm-1", Calls: calls, Bodies: maxBodyMemory, Policy: policy}, holder, table, servers, owner, carobward.SystemClock{}, logr.Discard())
}

func options() ServerOptions {
	return ServerOptions{
		Header: 1024, Body: 1024, Conns: 16, ConnsPerIP: 16,
		Read: time.Minute, Write: time.Minute, Idle: time.Minute,
	}
}

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, o ServerOptions, servers carobward.Servers) string {
	t.Helper()

	const calls = 8

	return serveForwarder(t, o, newForwarder(servers, calls))
}

func serveForwarder(t testing.TB, o ServerOptions, fw *Forwarder) string {
	t.Helper()

	s := NewServer(o, fw, logr.Discard())
	closer := cwclose.New(cwclose.Options{MaxConns: o.Conns, Log: logr.Discard()})
	t.Cleanup(closer.Close)

	return string(cwtest.Serve(t, func(ln net.Listener) error { return s.Serve(closer.Listen(ln)) }, func() error { return nil }))
}

// client is a caller that sends raw bytes.
type client struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, to string) *client {
	t.Helper()

	c, err := net.Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}

	return &client{t: t, conn: c, reader: bufio.NewReader(c)}
}

func (c *client) write(text string) *client {
	c.t.Helper()

	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}

	return c
}

// read returns the next reply.
func (c *client) read(head bool) *fasthttp.Response {
	c.t.Helper()

	resp := &fasthttp.Response{SkipBody: head}
	if err := resp.Read(c.reader); err != nil {
		c.t.Fatalf("read a reply: %v", err)
	}

	return resp
}
