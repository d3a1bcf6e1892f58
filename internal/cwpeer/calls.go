package cwpeer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
)

// Calls calls methods of peers. Clients does it over TCP.
type Calls interface {
	// Call calls a method of the peer at an address. The context's deadline
	// bounds it. An error does not tell by itself whether the method ran.
	Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error
}
