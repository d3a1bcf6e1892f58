package cwpeer_test

import (
	"context"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
)

// TestSilentConn lets the open connection to a peer go silent without a reset, while new
// connections work. The next call must time out and close the connection, so that the
// call after it succeeds.
func TestSilentConn(t *testing.T) {
	const limit = 100 * time.Millisecond

	proxy := cwstand.NewProxy(cwtest.Listen(t), serve(t, "", "127.0.0.1:0"))
	t.Cleanup(proxy.Close)

	clients := cwpeer.NewClients(cwpeer.Key{})
	t.Cleanup(clients.Close)

	ask := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()

		return clients.Call(ctx, proxy.Address(), "Echo.Ask", &cwwire.Ask{Id: "one"}, &cwwire.Members{})
	}

	if err := ask(10 * time.Second); err != nil {
		t.Fatal(err)
	}

	proxy.Blackhole()

	if err := ask(limit); err == nil {
		t.Fatal("a call over the silent connection succeeded")
	}

	if err := ask(10 * time.Second); err != nil {
		t.Errorf("call after the timeout: %v", err)
	}
}
