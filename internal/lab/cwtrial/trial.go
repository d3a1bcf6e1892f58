// Package cwtrial tries the carrying of calls against servers that misbehave
// over sockets: what is delivered, what is sent twice, what is left unknown.
package cwtrial

import (
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
)

// The link of a trial.
const (
	linkConns  = 8
	linkKeep   = time.Minute
	linkDial   = time.Second
	linkHeader = 4 * carobward.Kilobyte
	// replyMost bounds the body of a reply in bytes.
	replyMost = 64
	// callMost bounds the time of one call.
	callMost = time.Minute
)

// NewLink returns a link with few connections.
func NewLink() *cwlink.Link {
	o := cwlink.Options{MaxConns: linkConns, IdleTimeout: linkKeep, DialTimeout: linkDial, MaxHeaderSize: linkHeader}

	return cwlink.New(o, carobward.SystemClock{})
}

// NewCall returns a call with a deadline far away.
func NewCall(id carobward.RequestID) *carobward.Call {
	return &carobward.Call{
		ID: id, Method: "GET", URI: "/a?b=c", Host: "h", Deadline: time.Now().Add(callMost), MaxReply: replyMost,
	}
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")

	return ln, errors.Annotate(err, "trial")
}
