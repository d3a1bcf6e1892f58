package cwstand

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Script answers the n-th request of a connection, counted from 0, by writing
// raw bytes, and reports whether the connection stays open.
type Script func(c net.Conn, req *fasthttp.Request, n int) bool

// Scripted is a stand-in for a backend server whose replies are written by a
// script.
type Scripted struct {
	*acceptor
	script          Script
	requests, conns atomic.Int64
}

// NewScripted returns a server that accepts connections from the listener until
// Close.
func NewScripted(ln net.Listener, s Script) *Scripted {
	server := &Scripted{script: s}
	server.acceptor = accept(ln, server.serve)

	return server
}

// Requests returns the number of requests that arrived completely.
func (s *Scripted) Requests() int64 { return s.requests.Load() }

// Conns returns the number of connections accepted so far.
func (s *Scripted) Conns() int64 { return s.conns.Load() }

func (s *Scripted) serve(c net.Conn) {
	s.conns.Add(1)

	r := bufio.NewReader(c)

	var req fasthttp.Request

	for n := 0; ; n++ {
		if err := req.Read(r); err != nil {
			return
		}

		s.requests.Add(1)

		if !s.script(c, &req, n) {
			return
		}
	}
}

// RequestID returns the ID of a request.
func RequestID(req *fasthttp.Request) string { return string(req.Header.Peek(carobward.HeaderID)) }

// WriteReply writes text, with each "ID" in it replaced by the request's ID.
func WriteReply(c net.Conn, req *fasthttp.Request, text string) {
	_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", RequestID(req))))
}

// FixedReply returns a script that answers each request with the same text, with each
// "ID" in it replaced by the request's ID.
func FixedReply(reply string, keepOpen bool) Script {
	return func(c net.Conn, req *fasthttp.Request, _ int) bool {
		WriteReply(c, req, reply)

		return keepOpen
	}
}
