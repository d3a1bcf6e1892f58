// Package cwtrial tests forwarding of calls to servers that misbehave on their
// connections: which answers are delivered, which calls are sent twice, and
// which are left with an unknown verdict.
package cwtrial

import (
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwlink"
)

// The options of the link.
const (
	linkConns       = 8
	linkIdleTimeout = time.Minute
	linkDialTimeout = time.Second
	linkMaxHeader   = 4 * carobward.Kilobyte
	// maxReply bounds the body of a reply, in bytes.
	maxReply = 64
	// callTimeout bounds one call.
	callTimeout = time.Minute
)

// NewLink returns a link with few connections.
func NewLink() *cwlink.Link {
	o := cwlink.Options{MaxConns: linkConns, IdleTimeout: linkIdleTimeout, DialTimeout: linkDialTimeout, MaxHeaderSize: linkMaxHeader}

	return cwlink.New(o, carobward.SystemClock{})
}

// NewCall returns a call with a deadline far in the future.
func NewCall(id carobward.RequestID) *carobward.Call {
	return &carobward.Call{
		ID: id, Method: "GET", URI: "/a?b=c", Host: "h", Deadline: time.Now().Add(callTimeout), MaxReply: maxReply,
	}
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")

	return ln, errors.Annotate(err, "trial")
}
