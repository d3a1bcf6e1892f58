package cwmesh

import (
	"math"
	"net"
	"strconv"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

func decodeNode(n *cwwire.Node) Node {
	return Node{
		ID: carobward.VMID(n.GetId()), Domain: carobward.Domain(n.GetDomain()),
		Callers: carobward.Address(n.GetCallers()), Peers: carobward.Address(n.GetPeers()),
		Relay: decodeRelay(n),
	}
}

// decodeRelay returns the address at which an entry VM takes requests that are passed on.
func decodeRelay(n *cwwire.Node) carobward.Address {
	host, _, err := net.SplitHostPort(n.GetPeers())
	if err != nil || n.GetRelay() == 0 {
		return ""
	}

	return carobward.Address(net.JoinHostPort(host, strconv.FormatUint(uint64(n.GetRelay()), 10)))
}

// relayPort returns the port of that address, or 0 if there is none.
func relayPort(n Node) uint32 {
	_, text, err := net.SplitHostPort(string(n.Relay))
	if err != nil {
		return 0
	}

	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}

	return uint32(port)
}

func encodeNode(n Node) *cwwire.Node {
	return &cwwire.Node{Id: string(n.ID), Domain: string(n.Domain), Callers: string(n.Callers), Peers: string(n.Peers), Relay: relayPort(n)}
}

func encodeNodes(list []Node) []*cwwire.Node {
	var out []*cwwire.Node
	for _, n := range list {
		out = append(out, encodeNode(n))
	}

	return out
}

func decodeNodes(list []*cwwire.Node) []Node {
	var out []Node
	for _, n := range list {
		out = append(out, decodeNode(n))
	}

	return out
}

func decodeEntry(e *cwwire.Entry) carobward.Item {
	return carobward.Item{
		Key: carobward.Key(e.GetKey()), Value: e.GetValue(), Index: carobward.StoreIndex(e.GetIndex()), Deleted: e.GetGone(),
	}
}

func encodeEntry(it *carobward.Item) *cwwire.Entry {
	return &cwwire.Entry{Key: string(it.Key), Value: it.Value, Index: uint64(it.Index), Gone: it.Deleted}
}

// decodeKept decodes items that a peer keeps in force.
func decodeKept(list []*cwwire.Kept) []carobward.RetainedItem {
	var out []carobward.RetainedItem

	for _, k := range list {
		out = append(out, carobward.RetainedItem{
			Item: decodeEntry(k.GetEntry()), Rank: carobward.Rank{Start: carobward.Start(k.GetStart()), Write: k.GetWrite()},
			Remaining: time.Duration(min(k.GetLeft(), maxKeptMillis)) * time.Millisecond,
		})
	}

	return out
}

// maxKeptMillis is the longest remaining time of a kept item that a peer may report, in milliseconds.
const maxKeptMillis = uint64(carobward.Forever / time.Millisecond)

func encodeKept(list []carobward.RetainedItem) []*cwwire.Kept {
	var out []*cwwire.Kept

	for i := range list {
		k := &list[i]
		out = append(out, &cwwire.Kept{
			Entry: encodeEntry(&k.Item), Start: int64(k.Rank.Start), Write: k.Rank.Write, Left: uint64(k.Remaining.Milliseconds()),
		})
	}

	return out
}

// maxAge is the longest age that a message can carry.
const maxAge = (math.MaxUint32 - 1) * time.Millisecond

// encodeAge returns the age of a time in milliseconds plus one, or 0 for the zero time.
func encodeAge(fresh, now time.Time) uint32 {
	if fresh.IsZero() {
		return 0
	}

	return uint32(min(max(0, now.Sub(fresh)), maxAge).Milliseconds()) + 1
}

// decodeAge returns the time that an age in a message stands for, or the zero time for 0.
func decodeAge(age uint32, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}

	return now.Add(-time.Duration(age-1) * time.Millisecond)
}

// decodeSummary decodes a summary. Made is the zero time if the summary was never made.
func decodeSummary(d *cwwire.Domain, now time.Time) Summary {
	s := Summary{
		Domain: carobward.Domain(d.GetName()), stamp: stamp{d.GetBy(), d.GetNth()}, Made: decodeAge(d.GetAge(), now),
		Alive: int(d.GetAlive()), Size: int(d.GetSize()), StoreDown: int(d.GetAway()), Rate: int(d.GetRate()),
		Loads: decodeLoads(d.GetLoads()),
	}

	for _, id := range d.GetLost() {
		s.Lost = append(s.Lost, carobward.VMID(id))
	}

	s.Nodes, s.Contacts = decodeNodes(d.GetNodes()), decodeNodes(d.GetContacts())

	return s
}

func encodeSummary(s *Summary, now time.Time) *cwwire.Domain {
	d := &cwwire.Domain{
		Name: string(s.Domain), Age: encodeAge(s.Made, now),
		Alive: uint32(s.Alive), Size: uint32(s.Size), Away: uint32(s.StoreDown), Rate: uint32(s.Rate), Nodes: encodeNodes(s.Nodes),
		Loads: encodeLoads(s.Loads), Contacts: encodeNodes(s.Contacts), By: s.boot, Nth: s.number,
	}

	for _, id := range s.Lost {
		d.Lost = append(d.Lost, string(id))
	}

	return d
}

func encodeSummaries(list []Summary, now time.Time) []*cwwire.Domain {
	var out []*cwwire.Domain
	for i := range list {
		out = append(out, encodeSummary(&list[i], now))
	}

	return out
}

// decodeNotices decodes the servers' notices that a peer passed on.
func decodeNotices(b *cwwire.Beat, now time.Time) carobward.Announcements {
	w := carobward.Announcements{Limits: decodeLimits(b.GetLimits(), now)}

	for _, l := range b.GetLeaving() {
		w.Leaving = append(w.Leaving, carobward.LeavingAnnouncement{Server: carobward.Instance(l.GetServer()), Start: carobward.Start(l.GetStart())})
	}

	return w
}

func encodeLeaving(list []carobward.LeavingAnnouncement) []*cwwire.LeavingServer {
	var out []*cwwire.LeavingServer
	for _, l := range list {
		out = append(out, &cwwire.LeavingServer{Server: string(l.Server), Start: int64(l.Start)})
	}

	return out
}

// decodeLimits decodes the limits that servers announced. A rate that is negative, infinite
// or not a number becomes a limit that can't be read.
func decodeLimits(list []*cwwire.ServerLimit, now time.Time) []carobward.LimitAnnouncement {
	out := make([]carobward.LimitAnnouncement, 0, len(list))

	for _, l := range list {
		rate := l.GetRate()
		w := carobward.LimitAnnouncement{Server: carobward.Instance(l.GetServer()), Relayed: l.GetPassed(), At: now.Add(-time.Duration(l.GetAge()) * time.Millisecond)}

		if !l.GetLifted() {
			w.Limit = carobward.Limit{Present: true}
		}

		if !l.GetLifted() && rate >= 0 && !math.IsInf(rate, 1) {
			w.Limit.Readable, w.Limit.Rate = true, carobward.Rate(rate)
		}

		out = append(out, w)
	}

	return out
}

func encodeLimits(list []carobward.LimitAnnouncement, now time.Time) []*cwwire.ServerLimit {
	var out []*cwwire.ServerLimit

	for i := range list {
		w := &list[i]

		rate := float64(w.Limit.Rate)
		if !w.Limit.Readable {
			rate = math.NaN()
		}

		out = append(out, &cwwire.ServerLimit{
			Server: string(w.Server), Rate: rate, Lifted: !w.Limit.Present, Age: uint32(max(0, now.Sub(w.At).Milliseconds())),
			Passed: w.Relayed,
		})
	}

	return out
}
