package cwmesh

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwwire"
)

// askAgain is after what time an ask for tokens is sent once more: datagrams are lost now and
// then. The tokens of an answer that was lost are not used.
const askAgain = 30 * time.Millisecond

// errNoPeer is the error of an ask to an entry VM that is not known here.
const errNoPeer = errors.ConstError("mesh: no such peer in the failure domain")

// AskTokens asks an entry VM of the failure domain for tokens of a team's quota.
func (m *Mesh) AskTokens(ctx context.Context, to carobward.VMID, team carobward.TeamName, want int) (cwquota.Grant, error) {
	address, ok := m.Table.addressOf(to)
	if !ok {
		return cwquota.Grant{}, errNoPeer
	}

	number, answer := m.beginAsk()
	defer m.endAsk(number)

	raw := m.encode(&cwwire.Beat{
		Id: string(m.Table.Self().ID), Tokens: &cwwire.Tokens{Ask: number, Team: string(team), Want: uint32(want)},
	})

	t := time.NewTicker(askAgain)
	defer t.Stop()

	for {
		m.write(raw, address)

		select {
		case g := <-answer:
			return g, nil
		case <-t.C:
		case <-ctx.Done():
			return cwquota.Grant{}, ctx.Err()
		}
	}
}

func (m *Mesh) beginAsk() (uint64, <-chan cwquota.Grant) {
	answer := make(chan cwquota.Grant, 1)

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.lastAsk++
	m.asks[m.lastAsk] = answer

	return m.lastAsk, answer
}

func (m *Mesh) endAsk(number uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	delete(m.asks, number)
}

// takeTokens answers an ask for tokens, or takes an answer.
func (m *Mesh) takeTokens(t *cwwire.Tokens, from net.Addr) {
	if !t.GetAnswer() {
		g := m.Grant(carobward.TeamName(t.GetTeam()), int(t.GetWant()))
		m.write(m.encode(&cwwire.Beat{Id: string(m.Table.Self().ID), Tokens: &cwwire.Tokens{
			Ask: t.GetAsk(), Answer: true, Owner: g.Owner, Given: uint32(g.Tokens), Wait: uint32(g.Wait.Milliseconds()),
		}}), carobward.Address(from.String()))

		return
	}

	m.mutex.Lock()
	answer := m.asks[t.GetAsk()]
	delete(m.asks, t.GetAsk())
	m.mutex.Unlock()

	if answer != nil {
		answer <- cwquota.Grant{Owner: t.GetOwner(), Tokens: int(t.GetGiven()), Wait: time.Duration(t.GetWait()) * time.Millisecond}
	}
}

// Quota returns what is known of the entry VMs that divide quotas.
func (m *Mesh) Quota(now time.Time) cwquota.Fleet {
	f := cwquota.Fleet{Settled: now.Sub(m.began) >= startSettle}

	for _, p := range m.Table.Live(now) {
		if p.State != Leaving {
			f.Peers = append(f.Peers, p.ID)
		}
	}

	f.Near, f.Part = m.Table.part(m.Domains, now)

	return f
}
