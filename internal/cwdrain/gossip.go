package cwdrain

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/cwwire"
)

// The parameters of the gossip.
const (
	// pushPeers is the number of peers that new marks are sent to at each
	// tick.
	pushPeers = 3
	// minFanout is the base of the number of peers that a mark is sent to. Two
	// are added for each doubling of the fleet.
	minFanout = 4
	// pullInterval is the time between two comparisons of digests with a
	// peer.
	pullInterval = 500 * time.Millisecond
	// maxMessageMarks limits the marks in one message.
	maxMessageMarks = 1 << 10
	// callTimeout limits one call to a peer.
	callTimeout = 400 * time.Millisecond
	// maxTickGap is the longest normal time between two ticks. After a longer
	// one, no requests are sent to servers until the table has been compared
	// with a peer's.
	maxTickGap = 1500 * time.Millisecond
	// maxWithheld limits how long requests are withheld if no peer answers.
	maxWithheld = time.Second
)

// Message is one message to a peer.
type Message struct {
	To   carobward.Address
	News *cwwire.News
}

// Gossip exchanges marks with peers. It pushes new marks, and pulls those that
// it lacks by comparing digests.
type Gossip struct {
	table *Table
	rng   *rand.Rand

	lastTick time.Time
	lastPull time.Time
	// lastAnswered is the time of the last tick with a comparison that a peer
	// answered.
	lastAnswered time.Time
	// resumedAt is the end of the last pause; zero once the table has been
	// compared with a fresh peer's since.
	resumedAt time.Time

	calls, bytes atomic.Int64
}

// NewGossip returns the Gossip of a table.
func NewGossip(table *Table, rng *rand.Rand) *Gossip { return &Gossip{table: table, rng: rng} }

// Plan returns the messages to send now. Their marks are counted as sent; Failed
// reverts that for one message.
func (g *Gossip) Plan(now time.Time, peers []carobward.Address) []Message {
	if g.lastTick.IsZero() || now.Sub(g.lastTick) > maxTickGap {
		g.resumedAt = now
	}

	g.lastTick = now
	peers = g.drawPeers(peers)
	messages := g.push(peers)

	if now.Sub(g.lastPull) < pullInterval && g.resumedAt.IsZero() {
		return messages
	}

	switch {
	case len(peers) == 0:
	case !g.resumedAt.IsZero() || g.lastPull.IsZero():
		// After a pause or a failure, compare with all of the drawn peers,
		// since any of them may not answer or may have been paused too.
		for _, p := range peers {
			messages = append(messages, Message{p, g.table.digestMessage()})
		}
	default:
		messages = append(messages, Message{peers[0], g.table.digestMessage()})
	}

	g.lastPull = now

	return messages
}

// drawPeers returns up to pushPeers random peers.
func (g *Gossip) drawPeers(peers []carobward.Address) []carobward.Address {
	g.table.setFleetSize(len(peers))

	drawn := make([]carobward.Address, 0, pushPeers)
	for _, i := range g.rng.Perm(len(peers)) {
		if len(drawn) == pushPeers {
			break
		}

		drawn = append(drawn, peers[i])
	}

	return drawn
}

// push returns the messages with new marks.
func (g *Gossip) push(peers []carobward.Address) []Message {
	var messages []Message

	for _, p := range peers {
		if news := g.table.takePending(); news != nil {
			messages = append(messages, Message{p, news})
		}
	}

	return messages
}

// Answered processes a peer's answer to a message.
func (g *Gossip) Answered(now time.Time, sent, answer *cwwire.News) {
	g.table.merge(now, answer.GetMarks())

	if len(sent.GetDigests()) > 0 {
		g.lastAnswered, g.lastPull = g.lastTick, g.lastTick
	}

	if len(sent.GetDigests()) > 0 && answer.GetFresh() {
		g.resumedAt = time.Time{}
	}
}

// Failed processes a message without an answer: its marks are sent again. If no
// comparison of the tick was answered, the next tick compares with all of the
// drawn peers.
func (g *Gossip) Failed(sent *cwwire.News) {
	g.table.requeue(sent.GetMarks())

	if len(sent.GetDigests()) > 0 && !g.lastAnswered.Equal(g.lastTick) {
		g.lastPull = time.Time{}
	}
}

// Fresh reports whether the table is current enough for sending requests to
// servers.
func (g *Gossip) Fresh(now time.Time) bool {
	return g.resumedAt.IsZero() || now.Sub(g.resumedAt) >= maxWithheld
}

// Tick makes the calls of one Plan and waits until they end.
func (g *Gossip) Tick(ctx context.Context, clock carobward.Clock, peers []carobward.Address, calls cwpeer.Calls) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var group conc.WaitGroup

	messages := g.Plan(clock.Now(), peers)
	answers := make([]*cwwire.News, len(messages))

	for i, one := range messages {
		group.Go(func() {
			answer := &cwwire.News{}
			if calls.Call(ctx, one.To, "News.Exchange", one.News, answer) == nil {
				answers[i] = answer
			}

			g.calls.Add(1)
			g.bytes.Add(int64(proto.Size(one.News) + proto.Size(answer)))
		})
	}

	group.Wait()

	for i, one := range messages {
		if answers[i] == nil {
			g.Failed(one.News)
		} else {
			g.Answered(clock.Now(), one.News, answers[i])
		}
	}
}

// Traffic returns the number of calls to peers and the bytes of their messages
// since the start.
func (g *Gossip) Traffic() (calls, bytes int64) { return g.calls.Load(), g.bytes.Load() }
