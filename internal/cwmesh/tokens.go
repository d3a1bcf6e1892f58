package cwmesh

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwreserve"
	"carobward.example/carobward/internal/cwwire"
)

// tokenRetryInterval is the time after which a token request is sent again, as datagrams may
// be lost. Tokens granted in a lost answer are not used.
const tokenRetryInterval = 30 * time.Millisecond

// errNoPeer is returned if the entry VM to ask is not known.
const errNoPeer = errors.ConstError("mesh: no such peer in the failure domain")

// maxTokenRelays is how many token requests of other failure domains are handled at once.
// Further ones get no answer.
const maxTokenRelays = 64

// maxTokenWait is the maximum wait in an answer. It is longer than any caller's timeout.
const maxTokenWait = time.Hour

// AskTokens asks an entry VM of this failure domain for tokens of a team's quota.
func (m *Mesh) AskTokens(ctx context.Context, to carobward.VMID, team carobward.TeamName, a *cwreserve.Ask) (cwquota.Grant, error) {
	address, ok := m.Table.addressOf(to)
	if !ok {
		return cwquota.Grant{}, errNoPeer
	}

	return m.requestTokens(ctx, address, encodeAsk(team, a))
}

// AskTokensInDomain has an entry VM of another failure domain ask the owners there.
func (m *Mesh) AskTokensInDomain(ctx context.Context, in carobward.Domain, team carobward.TeamName, a *cwreserve.Ask) (cwquota.Grant, error) {
	list := m.Table.Contacts(in, 1, m.Clock.Now())
	if len(list) == 0 {
		return cwquota.Grant{}, errNoPeer
	}

	ask := encodeAsk(team, a)
	ask.Relay = true

	return m.requestTokens(ctx, list[0].Peers, ask)
}

func encodeAsk(team carobward.TeamName, a *cwreserve.Ask) *cwwire.Tokens {
	return &cwwire.Tokens{Team: string(team), Want: uint32(a.Want), Class: uint32(a.Class), Again: a.Again, Relayed: a.Relayed}
}

// decodeAsk decodes a token request. An unknown class counts as the last one.
func decodeAsk(t *cwwire.Tokens) *cwreserve.Ask {
	return &cwreserve.Ask{Want: int(t.GetWant()), Class: cwreserve.Class(min(t.GetClass(), cwreserve.Classes-1)), Again: t.GetAgain(), Relayed: t.GetRelayed()}
}

// requestTokens sends a request until there is an answer or the context ends.
func (m *Mesh) requestTokens(ctx context.Context, to carobward.Address, ask *cwwire.Tokens) (cwquota.Grant, error) {
	number, answer := m.addTokenRequest()
	defer m.removeTokenRequest(number)

	ask.Ask = number
	raw := m.encode(&cwwire.Beat{Id: string(m.Table.Self().ID), Tokens: ask})

	t := time.NewTicker(tokenRetryInterval)
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

func (m *Mesh) addTokenRequest() (uint64, <-chan cwquota.Grant) {
	answer := make(chan cwquota.Grant, 1)

	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.lastTokenRequest++
	m.tokenRequests[m.lastTokenRequest] = answer

	return m.lastTokenRequest, answer
}

func (m *Mesh) removeTokenRequest(number uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	delete(m.tokenRequests, number)
}

// handleTokens answers a token request, or delivers the answer to one.
func (m *Mesh) handleTokens(t *cwwire.Tokens, from net.Addr) {
	team := carobward.TeamName(t.GetTeam())

	switch {
	case t.GetAnswer():
		m.deliverGrant(t)
	case t.GetRelay():
		m.relayTokenRequest(t.GetAsk(), team, decodeAsk(t), from)
	default:
		m.sendGrant(t.GetAsk(), m.Grant(team, decodeAsk(t)), from)
	}
}

// relayTokenRequest asks the owners here on behalf of another failure domain, unless too many
// such requests are in progress.
func (m *Mesh) relayTokenRequest(number uint64, team carobward.TeamName, a *cwreserve.Ask, from net.Addr) {
	if m.tokenRelays.Add(1) > maxTokenRelays {
		m.tokenRelays.Add(-1)

		return
	}

	m.group.Go(func() {
		defer m.tokenRelays.Add(-1)

		m.sendGrant(number, m.DomainGrant(context.Background(), team, a), from)
	})
}

func (m *Mesh) sendGrant(ask uint64, g cwquota.Grant, to net.Addr) {
	m.write(m.encode(&cwwire.Beat{Id: string(m.Table.Self().ID), Tokens: &cwwire.Tokens{
		Ask: ask, Answer: true, Owner: g.Owner, Given: uint32(g.Tokens), Wait: uint32(min(g.Wait, maxTokenWait).Milliseconds()),
		Beyond: g.Beyond,
	}}), carobward.Address(to.String()))
}

func (m *Mesh) deliverGrant(t *cwwire.Tokens) {
	m.mutex.Lock()
	answer := m.tokenRequests[t.GetAsk()]
	delete(m.tokenRequests, t.GetAsk())
	m.mutex.Unlock()

	if answer != nil {
		answer <- cwquota.Grant{
			Owner: t.GetOwner(), Tokens: int(t.GetGiven()), Wait: time.Duration(t.GetWait()) * time.Millisecond, Beyond: t.GetBeyond(),
		}
	}
}

// Quota returns the entry VMs that divide quotas, as far as is known.
func (m *Mesh) Quota(now time.Time) cwquota.Fleet {
	f := cwquota.Fleet{Domains: m.Table.domainNames()}

	for _, p := range m.Table.Live(now) {
		if p.State != Leaving {
			f.Peers = append(f.Peers, p.ID)
		}
	}

	near, all := m.Table.fleetSize(m.Domains, now)
	f.DomainSize, f.DomainShare = near, float64(near)/float64(all)
	f.Settled = now.Sub(m.started) >= startSettleTime || m.Table.knowsListed(1+len(f.Peers), f.DomainSize)

	return f
}
