package cwdrain

import (
	"hash/fnv"
	"math/bits"
	"strconv"
	"time"

	"carobward.example/carobward/internal/cwwire"
)

// setFleetSize sets how many peers this entry VM sends a new mark to. That number
// grows with the logarithm of the number of peers.
func (t *Table) setFleetSize(peers int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.fanout = minFanout + 2*bits.Len(uint(peers))
}

// takePending returns marks that are still to be sent, up to the limit of one
// message, and counts them as sent once. It returns nil if there are none.
func (t *Table) takePending() *cwwire.News {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	var news *cwwire.News

	for _, e := range t.entries {
		if e.sendsLeft == 0 {
			continue
		}

		e.sendsLeft--

		if news == nil {
			news = &cwwire.News{}
		}

		if news.Marks = append(news.Marks, e.wire()); len(news.Marks) == maxMessageMarks {
			break
		}
	}

	return news
}

// requeue counts marks as to be sent once more after a failed message. Marks
// that have been replaced since are skipped.
func (t *Table) requeue(marks []*cwwire.Mark) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, w := range marks {
		m := fromWire(w)
		if e := t.entries[key{m.Address, m.Source}]; e != nil && e.Mark == m {
			e.sendsLeft++
		}
	}
}

// digestMessage returns a message with the digests of the table.
func (t *Table) digestMessage() *cwwire.News {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return &cwwire.News{Digests: t.digests()}
}

// differing returns the marks of the buckets whose digests differ from a peer's.
func (t *Table) differing(digests []uint32) []*cwwire.Mark {
	if len(digests) != buckets {
		return nil
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	var marks []*cwwire.Mark

	own := t.digests()
	for k, e := range t.entries {
		if bucket := k.hash() % buckets; own[bucket] != digests[bucket] {
			marks = append(marks, e.wire())
		}
	}

	return marks
}

// merge adopts the valid marks of a peer that override those in the table.
func (t *Table) merge(now time.Time, marks []*cwwire.Mark) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, w := range marks {
		m := fromWire(w)
		if !m.valid(now) {
			continue
		}

		if e := t.entries[key{m.Address, m.Source}]; e == nil || m.overrides(e.Mark) {
			t.put(m)
		}
	}
}

// buckets is the number of hash buckets by which tables are compared.
const buckets = 16

func (k key) hash() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.address))

	return h.Sum32()
}

// digests returns the digest of each bucket. The result must not be modified.
// The caller must hold the mutex.
func (t *Table) digests() []uint32 {
	if t.cachedDigests != nil {
		return t.cachedDigests
	}

	all := make([]uint32, buckets)

	for k, e := range t.entries {
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.address))
		_, _ = h.Write(strconv.AppendUint([]byte{byte(k.source), bit(e.On)}, e.Time, 16))
		_, _ = h.Write(strconv.AppendUint([]byte{'-'}, e.Run, 16))
		all[k.hash()%buckets] ^= h.Sum32()
	}

	t.cachedDigests = all

	return all
}

func bit(on bool) byte {
	if on {
		return 1
	}

	return 0
}
