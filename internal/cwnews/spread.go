package cwnews

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
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
	pullEvery = time.Second
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

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, to carobward.Address, method string, in, out any) error
}

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
	heard  time.Time
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

	switch {
	case len(peers) == 0:
	case !s.missed.IsZero():
		// All of the few drawn, since any may have been paused too.
		for _, p := range peers {
			sends = append(sends, Send{p, s.table.compare()})
		}
	case now.Sub(s.pulled) >= pullEvery:
		s.pulled = now
		sends = append(sends, Send{peers[0], s.table.compare()})
	}

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
		s.heard = now
		s.missed = time.Time{}
	}
}

// Failed takes back a message that had no answer.
func (s *Spread) Failed(sent *cwwire.News) {
	s.table.again(sent.GetMarks())

	if len(sent.GetDigests()) > 0 {
		s.pulled = time.Time{}
	}
}

// Fresh tells whether work may be given out by what the table says.
func (s *Spread) Fresh(now time.Time) bool {
	return s.missed.IsZero() || now.Sub(s.missed) >= deafMost
}

// Tick does the calls of one Plan and waits for their ends.
func (s *Spread) Tick(ctx context.Context, clock carobward.Clock, peers []carobward.Address, caller Caller) {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()

	var group conc.WaitGroup

	sends := s.Plan(clock.Now(), peers)
	answers := make([]*cwwire.News, len(sends))

	for i, one := range sends {
		group.Go(func() {
			answer := &cwwire.News{}
			if caller.Call(ctx, one.To, "News.Exchange", one.News, answer) == nil {
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

// Service is what peers may call.
type Service struct {
	table *Table
	clock carobward.Clock
}

// NewService returns the service of a table.
func NewService(table *Table, clock carobward.Clock) *Service {
	return &Service{table: table, clock: clock}
}

// Exchange takes a peer's marks and answers with ours where its digests
// differ.
func (s *Service) Exchange(in *cwwire.News, out *cwwire.News) error {
	now := s.clock.Now()

	s.table.take(now, in.GetMarks())
	out.Marks = s.table.differing(in.GetDigests())

	return nil
}

// size sets how many peers a mark is told to by the size of the fleet.
func (t *Table) size(peers int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.spread = spreadLeast + 2*bits.Len(uint(peers))
}

// hot returns the marks that are to be told, or nil.
func (t *Table) hot() *cwwire.News {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var news *cwwire.News

	for _, k := range t.sorted() {
		l := t.lines[k]
		if l.left == 0 {
			continue
		}

		l.left--

		if news == nil {
			news = &cwwire.News{}
		}

		if news.Marks = append(news.Marks, l.wire()); len(news.Marks) == marksSent {
			break
		}
	}

	return news
}

// again has marks told once more that did not get through.
func (t *Table) again(marks []*cwwire.Mark) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, w := range marks {
		m := fromWire(w)
		if l := t.lines[key{m.Address, m.Source}]; l != nil && l.Mark == m {
			l.left++
		}
	}
}

// compare returns our digests.
func (t *Table) compare() *cwwire.News {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return &cwwire.News{Digests: t.digests()}
}

// differing returns the marks of the parts whose digests differ from ours.
func (t *Table) differing(digests []uint32) []*cwwire.Mark {
	if len(digests) != parts {
		return nil
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	var marks []*cwwire.Mark

	own := t.digests()
	for _, k := range t.sorted() {
		if part := k.hash() % parts; own[part] != digests[part] {
			marks = append(marks, t.lines[k].wire())
		}
	}

	return marks
}

// take takes the marks of a peer that override ours.
func (t *Table) take(now time.Time, marks []*cwwire.Mark) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, w := range marks {
		m := fromWire(w)
		if !m.valid(now) {
			continue
		}

		if l := t.lines[key{m.Address, m.Source}]; l == nil || m.later(l.Mark) {
			t.put(m)
		}
	}
}
