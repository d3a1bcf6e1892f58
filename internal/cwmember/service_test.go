package cwmember_test

import (
	"context"
	"expvar"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmember"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwwire"
)

// instance is a service with its sockets.
type instance struct {
	service *cwmember.Service
	table   *cwpeer.Table
	conn    net.PacketConn
	stop    func()
}

const sharedKey = testKey("a key of the test")

type testKey string

func open(t *testing.T, id carobward.VMID, key testKey, list []carobward.VM) *instance {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	conn, err := net.ListenPacket("udp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	addr := carobward.Address(ln.Addr().String())
	clock := carobward.SystemClock{}
	p := &instance{conn: conn, table: cwpeer.NewTable(carobward.Peer{
		ID: id, Incarnation: carobward.Incarnation(clock.Now().UnixNano()),
		Callers: addr, Lookup: addr, Peers: addr, Operators: addr,
	})}

	clients, server := cwpeer.NewClients(cwpeer.Key(key)), cwpeer.NewServer(cwpeer.Key(key), logr.Discard())
	p.service = cwmember.NewService(cwpeer.Key(key), conn, p.table, clients, new(expvar.Map).Init(), clock, logr.Discard())

	if err := server.Register("Member", p.service.RPC()); err != nil {
		t.Fatal(err)
	}

	p.service.Join(context.Background(), list)
	p.service.SetVMList(list)

	var group conc.WaitGroup

	ctx, cancel := context.WithCancel(context.Background())

	group.Go(func() { _ = server.Serve(ln) })
	group.Go(func() { p.service.Run(ctx) })

	p.stop = func() {
		cancel()
		<-p.service.Done()

		_ = ln.Close()
		_ = conn.Close()

		server.Close()
		clients.Close()
		group.Wait()
	}
	t.Cleanup(p.stop)

	return p
}

func (p *instance) vm() carobward.VM {
	s := p.table.Self()

	return carobward.VM{ID: s.ID, Address: s.Peers, Service: carobward.EntryService}
}

// states returns the states of the other VMs as seen here.
func (p *instance) states() map[carobward.VMID]string {
	all := map[carobward.VMID]string{}

	for _, o := range p.table.All() {
		if o.ID != p.table.Self().ID {
			all[o.ID] = o.State.String()
		}
	}

	return all
}

// TestService runs services over sockets: they join, one leaves and stops, and a
// VM with another key neither joins nor can forge that a member has stopped.
func TestService(t *testing.T) {
	a := open(t, "a", sharedKey, nil)
	b := open(t, "b", sharedKey, []carobward.VM{a.vm()})
	c := open(t, "c", sharedKey, []carobward.VM{a.vm()})
	outsider := open(t, "d", "another key", []carobward.VM{a.vm()})

	for _, p := range []*instance{a, b, c} {
		cwtest.Wait(t, "three see each other", func() bool { return len(p.states()) == 2 })
	}

	forge(t, a, b, "another key")
	forge(t, a, b, "")

	if left := b.service.Leave(context.Background()); left != 0 {
		t.Fatalf("%d members have not confirmed", left)
	}

	// A member updates its table before it confirms.
	want := map[carobward.VMID]string{"b": "leaving", "c": "live"}
	if diff := cmp.Diff(want, a.states()); diff != "" {
		t.Error(diff)
	}

	b.stop()
	cwtest.Wait(t, "all see that it has stopped", func() bool {
		return a.states()["b"] == "dead" && c.states()["b"] == "dead"
	})

	if got := outsider.states(); len(got) > 0 {
		t.Errorf("the VM with another key sees %v", got)
	}
}

// forge sends an update that a VM has stopped, under another key.
func forge(t *testing.T, to, about *instance, key testKey) {
	t.Helper()

	self := about.table.Self()
	member := &cwwire.Member{Id: string(self.ID), Incarnation: uint64(self.Incarnation), Rank: 2}

	raw, err := proto.Marshal(&cwwire.Datagram{From: member, News: []*cwwire.Member{member}})
	if err != nil {
		t.Fatal(err)
	}

	if _, err := about.conn.WriteTo(cwpeer.Key(key).Seal(raw), to.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
}
