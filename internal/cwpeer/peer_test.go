package cwpeer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/rpc"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
)

const errRefused = errors.ConstError("request refused")

// echo is a service that returns the id of the request. A request with the id "hold" is
// signalled on blocked and answered once unblock is closed.
type echo struct{ blocked, unblock chan struct{} }

func (e *echo) Ask(in *cwwire.Ask, out *cwwire.Members) error {
	switch in.GetId() {
	case "refuse":
		return errRefused
	case "hold":
		e.blocked <- struct{}{}

		<-e.unblock
	}

	out.Members = []*cwwire.Member{{Id: in.GetId()}}

	return nil
}

func serve(t *testing.T, key, address string) carobward.Address {
	t.Helper()

	return serveEcho(t, key, address, &echo{blocked: make(chan struct{}, 1), unblock: make(chan struct{})})
}

func serveEcho(t *testing.T, key, address string, e *echo) carobward.Address {
	t.Helper()

	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}

	s := cwpeer.NewServer(cwpeer.Key(key), logr.Discard())
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}

	var group conc.WaitGroup

	group.Go(func() { _ = s.Serve(ln) })
	t.Cleanup(func() {
		close(e.unblock)
		_ = ln.Close()
		s.Close()
		group.Wait()
	})

	return carobward.Address(ln.Addr().String())
}

func ask(ctx context.Context, c *cwpeer.Clients, to carobward.Address, id string) (string, error) {
	out := &cwwire.Members{}
	err := c.Call(ctx, to, "Echo.Ask", &cwwire.Ask{Id: id}, out)

	if err != nil {
		return "", err
	}

	return out.Members[0].Id, nil
}

// TestCall checks the reply or the verdict of a call, depending on the keys of both sides.
func TestCall(t *testing.T) {
	const local = "127.0.0.1:0"

	for name, tt := range map[string]struct {
		server, client, id string
		want               string
		verdict            carobward.Verdict
		is                 error
	}{
		"same key":              {server: "k", client: "k", id: "a", want: "a"},
		"no key, on loopback":   {id: "a", want: "a"},
		"another key":           {server: "k", client: "l", id: "a", verdict: carobward.NotRun, is: cwpeer.ErrKey},
		"no key at the client":  {server: "k", id: "a", verdict: carobward.NotRun, is: cwpeer.ErrKey},
		"no key at the server":  {client: "k", id: "a", verdict: carobward.NotRun, is: cwpeer.ErrKey},
		"error from the method": {server: "k", client: "k", id: "refuse", verdict: carobward.Unknown, is: rpc.ServerError(errRefused)},
	} {
		t.Run(name, func(t *testing.T) {
			to := serve(t, tt.server, local)

			c := cwpeer.NewClients(cwpeer.Key(tt.client))
			defer c.Close()

			got, err := ask(context.Background(), c, to, tt.id)
			if diff := cmp.Diff(tt.want, got); diff != "" || !errors.Is(err, tt.is) {
				t.Errorf("reply (-want +got): %s, error %v, want %v", diff, err, tt.is)
			}

			if v := carobward.VerdictOf(err); err != nil && v != tt.verdict {
				t.Errorf("verdict %v, want %v", v, tt.verdict)
			}
		})
	}
}

// TestCallVerdict verifies that a call that was never sent has the verdict not-run, and
// one that may have arrived the verdict unknown.
func TestCallVerdict(t *testing.T) {
	e := &echo{blocked: make(chan struct{}, 1), unblock: make(chan struct{})}
	to := serveEcho(t, "k", "127.0.0.1:0", e)
	c := cwpeer.NewClients(cwpeer.Key("k"))

	ctx, cancel := context.WithCancel(context.Background())

	var group conc.WaitGroup

	group.Go(func() {
		if _, err := ask(ctx, c, to, "hold"); carobward.VerdictOf(err) != carobward.Unknown {
			t.Errorf("verdict of a blocked call that was cancelled: %v", err)
		}
	})
	cwtest.Wait(t, "a reply while another call is blocked", func() bool {
		got, err := ask(context.Background(), c, to, "b")

		return err == nil && got == "b"
	})

	// Wait until the call has arrived: one cancelled before would correctly be
	// not-run.
	<-e.blocked
	cancel()
	group.Wait()
	c.Close()

	if _, err := ask(context.Background(), c, to, "c"); carobward.VerdictOf(err) != carobward.NotRun {
		t.Errorf("call after Close: %v", err)
	}
}

// TestCallAfterRestart calls a peer that has restarted on the same address since the last
// call. A call that fails because the old connection was closed may have arrived, so it is
// not repeated. A later call must succeed.
func TestCallAfterRestart(t *testing.T) {
	c := cwpeer.NewClients(cwpeer.Key("k"))
	defer c.Close()

	address := "127.0.0.1:0"

	for range 3 {
		t.Run("run", func(t *testing.T) {
			to := serve(t, "k", address)
			address = string(to)

			cwtest.Wait(t, "a reply of the restarted peer", func() bool {
				got, err := ask(context.Background(), c, to, "a")

				return err == nil && got == "a"
			})
		})
	}
}

// TestInvalidHandshake sends nothing or an invalid first message. The server must close the
// connection within a bounded time and send nothing.
func TestInvalidHandshake(t *testing.T) {
	to := serve(t, "k", "127.0.0.1:0")

	for name, sent := range map[string][]byte{
		"nothing":             nil,
		"a too large message": {0xff, 0xff, 0xff, 0x7f, 1, 2, 3},
		"another protocol":    []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		"a short nonce":       {3, 0x0a, 1, 7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			n, err := net.Dial("tcp", string(to))
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = n.Close() }()

			_, _ = n.Write(sent)
			_ = n.SetReadDeadline(time.Now().Add(cwtest.MaxWait))

			got, err := io.ReadAll(n)
			if len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the server sent %q, error %v", got, err)
			}
		})
	}
}

// TestInvalidProof sends a valid nonce but an invalid proof, then a call. The server must
// not answer the call.
func TestInvalidProof(t *testing.T) {
	to := serve(t, "k", "127.0.0.1:0")

	n, err := net.Dial("tcp", string(to))
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = n.Close() }()

	_ = n.SetDeadline(time.Now().Add(cwtest.MaxWait))
	in := bufio.NewReader(n)
	nonce := bytes.Repeat([]byte{7}, 32)

	send := func(m proto.Message) {
		if _, err := protodelim.MarshalTo(n, m); err != nil {
			t.Log(err) // The server may have closed already.
		}
	}

	send(&cwwire.Challenge{Nonce: nonce})

	challenge := &cwwire.Challenge{}
	if err := protodelim.UnmarshalFrom(in, challenge); err != nil {
		t.Fatal(err)
	}

	// The server's own proof must not be accepted as the client's.
	send(&cwwire.Challenge{Proof: challenge.GetProof()})
	send(&cwwire.Head{Method: "Echo.Ask", Seq: 1})
	send(&cwwire.Ask{Id: "a"})

	if got, err := io.ReadAll(in); len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the server sent %q, error %v", got, err)
	}
}

// TestDatagram checks which sealed datagrams Open accepts.
func TestDatagram(t *testing.T) {
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7}
	remote := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7}
	sealed := cwpeer.Key("k").Seal([]byte("news"))

	changed := append([]byte(nil), sealed...)
	changed[0] ^= 1

	for name, tt := range map[string]struct {
		key  string
		raw  []byte
		from net.Addr
		is   error
	}{
		"same key":         {"k", sealed, remote, nil},
		"another key":      {"l", sealed, remote, cwpeer.ErrDatagram},
		"changed":          {"k", changed, remote, cwpeer.ErrDatagram},
		"truncated":        {"k", sealed[:7], remote, cwpeer.ErrDatagram},
		"no key, remote":   {"", cwpeer.Key("").Seal([]byte("news")), remote, cwpeer.ErrLoopback},
		"no key, loopback": {"", cwpeer.Key("").Seal([]byte("news")), loopback, nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := cwpeer.Key(tt.key).Open(tt.raw, tt.from)
			if !errors.Is(err, tt.is) || (err == nil && string(got) != "news") {
				t.Errorf("Open returned %q, error %v", got, err)
			}
		})
	}
}

// FuzzOpen checks that Open accepts no datagram other than those that Seal produces.
func FuzzOpen(f *testing.F) {
	k := cwpeer.Key("k")
	from := &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7}

	f.Add(k.Seal([]byte("news")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := k.Open(raw, from)
		if err == nil && cmp.Diff(raw, k.Seal(append([]byte(nil), got...))) != "" {
			t.Error("opened a datagram that Seal would not produce")
		}
	})
}
