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

// relaysMost is how many asks of other failure domains are worked on at once. More are not
// answered.
const relaysMost = 64

// AskTokens asks an entry VM of the failure domain for tokens of a team's quota.
func (m *Mesh) AskTokens(ctx context.Context, to carobward.VMID, team carobward.TeamName, want int) (cwquota.Grant, error) {
	address, ok := m.Table.addressOf(to)
	if !ok {
		return cwquota.Grant{}, errNoPeer
	}

	return m.askTokens(ctx, address, &cwwire.Tokens{Team: string(team), Want: uint32(want)})
}

// AskTokensFar has an entry VM of another failure domain ask the owners there.
func (m *Mesh) AskTokensFar(ctx context.Context, in carobward.Domain, team carobward.TeamName, want int) (cwquota.Grant, error) {
	list := m.Table.Contacts(in, 1, m.Clock.Now())
	if len(list) == 0 {
		return cwquota.Grant{}, errNoPeer
	}

	return m.askTokens(ctx, list[0].Peers, &cwwire.Tokens{Team: string(team), Want: uint32(want), Relay: true})
}

// askTokens asks until there is an answer or the context ends.
func (m *Mesh) askTokens(ctx context.Context, to carobward.Address, ask *cwwire.Tokens) (cwquota.Grant, error) {
	number, answer := m.beginAsk()
	defer m.endAsk(number)

	ask.Ask = number
	raw := m.encode(&cwwire.Beat{Id: string(m.Table.Self().ID), Tokens: ask})

	t := time.NewTicker(askAgain)
	defer t.Stop()

	for {
		m.write(raw, to)

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
	team, want := carobward.TeamName(t.GetTeam()), int(t.GetWant())

	switch {
	case t.GetAnswer():
		m.takeAnswer(t)
	case t.GetRelay():
		m.relayTokens(t.GetAsk(), team, want, from)
	default:
		m.answerTokens(t.GetAsk(), m.Grant(team, want), from)
	}
}

// relayTokens asks the owners here for another failure domain, unless too many wait for that.
func (m *Mesh) relayTokens(ask uint64, team carobward.TeamName, want int, from net.Addr) {
	if m.relayed.Add(1) > relaysMost {
		m.relayed.Add(-1)

		return
	}

	m.work.Go(func() {
		defer m.relayed.Add(-1)

		m.answerTokens(ask, m.Near(context.Background(), team, want), from)
	})
}

func (m *Mesh) answerTokens(ask uint64, g cwquota.Grant, to net.Addr) {
	m.write(m.encode(&cwwire.Beat{Id: string(m.Table.Self().ID), Tokens: &cwwire.Tokens{
		Ask: ask, Answer: true, Owner: g.Owner, Given: uint32(g.Tokens), Wait: uint32(min(g.Wait, time.Hour).Milliseconds()),
	}}), carobward.Address(to.String()))
}

func (m *Mesh) takeAnswer(t *cwwire.Tokens) {
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
	f := cwquota.Fleet{Settled: now.Sub(m.began) >= startSettle, Domains: m.Table.domainNames()}

	for _, p := range m.Table.Live(now) {
		if p.State != Leaving {
			f.Peers = append(f.Peers, p.ID)
		}
	}

	f.Near, f.Part = m.Table.part(m.Domains, now)

	return f
}
