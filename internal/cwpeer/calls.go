package cwpeer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
)

// Calls sends RPCs to peers. Clients implements it over TCP.
type Calls interface {
	// Call calls a method of the peer at an address and waits for its reply until
	// the context ends. If it fails, the method may still have run, unless
	// the error is a Failure with the verdict NotRun.
	Call(ctx context.Context, to carobward.Address, method string, in, out proto.Message) error
}
