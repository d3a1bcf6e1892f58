package cwmesh

import (
	"math"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

func node(n *cwwire.Node) Node {
	return Node{
		ID: carobward.VMID(n.GetId()), Domain: carobward.Domain(n.GetDomain()),
		Callers: carobward.Address(n.GetCallers()), Peers: carobward.Address(n.GetPeers()),
	}
}

func wireNode(n Node) *cwwire.Node {
	return &cwwire.Node{Id: string(n.ID), Domain: string(n.Domain), Callers: string(n.Callers), Peers: string(n.Peers)}
}

func wireNodes(list []Node) []*cwwire.Node {
	var out []*cwwire.Node
	for _, n := range list {
		out = append(out, wireNode(n))
	}

	return out
}

func entry(e *cwwire.Entry) carobward.Item {
	return carobward.Item{
		Key: carobward.Key(e.GetKey()), Value: e.GetValue(), Index: carobward.StoreIndex(e.GetIndex()), Gone: e.GetGone(),
	}
}

func wireEntry(it *carobward.Item) *cwwire.Entry {
	return &cwwire.Entry{Key: string(it.Key), Value: it.Value, Index: uint64(it.Index), Gone: it.Gone}
}

// keptItems reads items that a peer keeps in force.
func keptItems(list []*cwwire.Kept) []carobward.Kept {
	var out []carobward.Kept

	for _, k := range list {
		out = append(out, carobward.Kept{
			Item: entry(k.GetEntry()), Rank: carobward.Rank{Start: carobward.Start(k.GetStart()), Write: k.GetWrite()},
			For: time.Duration(min(k.GetLeft(), leftMost)) * time.Millisecond,
		})
	}

	return out
}

// leftMost bounds, in milliseconds, for how long a peer may say that an item is kept.
const leftMost = uint64(carobward.Always / time.Millisecond)

func wireKept(list []carobward.Kept) []*cwwire.Kept {
	var out []*cwwire.Kept

	for i := range list {
		k := &list[i]
		out = append(out, &cwwire.Kept{
			Entry: wireEntry(&k.Item), Start: int64(k.Rank.Start), Write: k.Rank.Write, Left: uint64(k.For.Milliseconds()),
		})
	}

	return out
}

// encodeFresh returns an age for a message.
func encodeFresh(fresh, now time.Time) uint32 {
	if fresh.IsZero() {
		return 0
	}

	return uint32(max(0, now.Sub(fresh).Milliseconds())) + 1
}

// decodeFresh returns the time that an age of a message speaks of, or the zero
// time, which is older than any.
func decodeFresh(age uint32, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}

	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// summary reads a summary. One that was never put together has no time.
func summary(d *cwwire.Domain, now time.Time) Summary {
	s := Summary{
		Domain: carobward.Domain(d.GetName()), Made: decodeFresh(d.GetAge(), now),
		Alive: int(d.GetAlive()), Size: int(d.GetSize()), Away: int(d.GetAway()), Rate: int(d.GetRate()),
	}
	for _, n := range d.GetNodes() {
		s.Nodes = append(s.Nodes, node(n))
	}

	return s
}

func wireSummary(s *Summary, now time.Time) *cwwire.Domain {
	return &cwwire.Domain{
		Name: string(s.Domain), Age: encodeFresh(s.Made, now),
		Alive: uint32(s.Alive), Size: uint32(s.Size), Away: uint32(s.Away), Rate: uint32(s.Rate), Nodes: wireNodes(s.Nodes),
	}
}

func wireSummaries(list []Summary, now time.Time) []*cwwire.Domain {
	var out []*cwwire.Domain
	for i := range list {
		out = append(out, wireSummary(&list[i], now))
	}

	return out
}

// words reads what servers said to a peer.
func words(b *cwwire.Beat, now time.Time) carobward.ServerWords {
	w := carobward.ServerWords{Limits: limits(b.GetLimits(), now)}

	for _, l := range b.GetLeaving() {
		w.Leaving = append(w.Leaving, carobward.LeavingWord{Server: carobward.Instance(l.GetServer()), Start: carobward.Start(l.GetStart())})
	}

	return w
}

func wireLeaving(list []carobward.LeavingWord) []*cwwire.LeavingServer {
	var out []*cwwire.LeavingServer
	for _, l := range list {
		out = append(out, &cwwire.LeavingServer{Server: string(l.Server), Start: int64(l.Start)})
	}

	return out
}

// limits reads what servers said of the requests that they take. A rate that can't be one
// is a limit that can't be read.
func limits(list []*cwwire.ServerLimit, now time.Time) []carobward.LimitWord {
	out := make([]carobward.LimitWord, 0, len(list))

	for _, l := range list {
		rate := l.GetRate()
		w := carobward.LimitWord{Server: carobward.Instance(l.GetServer()), Passed: l.GetPassed(), At: now.Add(-time.Duration(l.GetAge()) * time.Millisecond)}

		if !l.GetLifted() {
			w.Limit = carobward.Limit{Named: true}
		}

		if !l.GetLifted() && rate >= 0 && !math.IsInf(rate, 1) {
			w.Limit.Readable, w.Limit.Rate = true, carobward.Rate(rate)
		}

		out = append(out, w)
	}

	return out
}

func wireLimits(list []carobward.LimitWord, now time.Time) []*cwwire.ServerLimit {
	var out []*cwwire.ServerLimit

	for i := range list {
		w := &list[i]

		rate := float64(w.Limit.Rate)
		if !w.Limit.Readable {
			rate = math.NaN()
		}

		out = append(out, &cwwire.ServerLimit{
			Server: string(w.Server), Rate: rate, Lifted: !w.Limit.Named, Age: uint32(max(0, now.Sub(w.At).Milliseconds())),
			Passed: w.Passed,
		})
	}

	return out
}
