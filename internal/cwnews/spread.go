package cwnews

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

// The pace of the spread.
const (
	// pushPeers is the number of peers that get the news at each tick.
	pushPeers = 3
	// spreadLeast is the number of peers that a mark is told to, but for two
	// more each time the fleet doubles.
	spreadLeast = 4
	// pullEvery is the time between two comparisons with a peer.
	pullEvery = 500 * time.Millisecond
	// marksSent bounds the marks of one message.
	marksSent = 1 << 10
	// callMost bounds one call to a peer.
	callMost = 400 * time.Millisecond
	// pauseMost is the longest pause between two ticks. After a longer one no
	// work is given out until the news have been heard.
	pauseMost = 1500 * time.Millisecond
	// deafMost is how long that lasts at most, when no peer answers.
	deafMost = time.Second
)

// Send is one message to a peer.
type Send struct {
	To   carobward.Address
	News *cwwire.News
}

// Spread tells peers the news and hears theirs.
type Spread struct {
	table *Table
	rng   *rand.Rand

	ticked time.Time
	pulled time.Time
	// answered is the tick of the last comparison that a peer answered.
	answered time.Time
	// missed is when the last pause ended; zero when its news were heard.
	missed time.Time

	calls, bytes atomic.Int64
}

// NewSpread returns the spread of a table.
func NewSpread(table *Table, rng *rand.Rand) *Spread { return &Spread{table: table, rng: rng} }

// Plan returns what is to be told to whom now. It counts each message as told;
// Failed takes that back.
func (s *Spread) Plan(now time.Time, peers []carobward.Address) []Send {
	if s.ticked.IsZero() || now.Sub(s.ticked) > pauseMost {
		s.missed = now
	}

	s.ticked = now
	peers = s.draw(peers)
	sends := s.push(peers)

	if now.Sub(s.pulled) < pullEvery && s.missed.IsZero() {
		return sends
	}

	switch {
	case len(peers) == 0:
	case !s.missed.IsZero() || s.pulled.IsZero():
		// After a pause or a failure from all of the few drawn, since any may
		// not answer, or have been paused too.
		for _, p := range peers {
			sends = append(sends, Send{p, s.table.compare()})
		}
	default:
		sends = append(sends, Send{peers[0], s.table.compare()})
	}

	s.pulled = now

	return sends
}

// draw returns a few peers at random.
func (s *Spread) draw(peers []carobward.Address) []carobward.Address {
	s.table.size(len(peers))

	drawn := make([]carobward.Address, 0, pushPeers)
	for _, i := range s.rng.Perm(len(peers)) {
		if len(drawn) == pushPeers {
			break
		}

		drawn = append(drawn, peers[i])
	}

	return drawn
}

func (s *Spread) push(peers []carobward.Address) []Send {
	var sends []Send

	for _, p := range peers {
		if news := s.table.hot(); news != nil {
			sends = append(sends, Send{p, news})
		}
	}

	return sends
}

// Answered takes a peer's answer.
func (s *Spread) Answered(now time.Time, sent, answer *cwwire.News) {
	s.table.take(now, answer.GetMarks())

	if len(sent.GetDigests()) > 0 {
		s.answered, s.pulled = s.ticked, s.ticked
	}

	if len(sent.GetDigests()) > 0 && answer.GetFresh() {
		s.missed = time.Time{}
	}
}

// Failed takes back a message that had no answer.
func (s *Spread) Failed(sent *cwwire.News) {
	s.table.again(sent.GetMarks())

	if len(sent.GetDigests()) > 0 && !s.answered.Equal(s.ticked) {
		s.pulled = time.Time{}
	}
}

// Fresh tells whether work may be given out by what the table says.
func (s *Spread) Fresh(now time.Time) bool {
	return s.missed.IsZero() || now.Sub(s.missed) >= deafMost
}

// Tick does the calls of one Plan and waits for their ends.
func (s *Spread) Tick(ctx context.Context, clock carobward.Clock, peers []carobward.Address, calls cwpeer.Calls) {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()

	var group conc.WaitGroup

	sends := s.Plan(clock.Now(), peers)
	answers := make([]*cwwire.News, len(sends))

	for i, one := range sends {
		group.Go(func() {
			answer := &cwwire.News{}
			if calls.Call(ctx, one.To, "News.Exchange", one.News, answer) == nil {
				answers[i] = answer
			}

			s.calls.Add(1)
			s.bytes.Add(int64(proto.Size(one.News) + proto.Size(answer)))
		})
	}

	group.Wait()

	for i, one := range sends {
		if answers[i] == nil {
			s.Failed(one.News)
		} else {
			s.Answered(clock.Now(), one.News, answers[i])
		}
	}
}

// Spent returns the calls made and the bytes of their messages since the
// start.
func (s *Spread) Spent() (calls, bytes int64) { return s.calls.Load(), s.bytes.Load() }
