package cwnews

import (
	"hash/fnv"
	"math/bits"
	"strconv"
	"time"

	"carobward.example/carobward/internal/cwwire"
)

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

	for _, l := range t.lines {
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
	for k, l := range t.lines {
		if part := k.hash() % parts; own[part] != digests[part] {
			marks = append(marks, l.wire())
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

// parts is the number of parts that the table is compared by.
const parts = 16

func (k key) hash() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.address))

	return h.Sum32()
}

// digests returns a digest of each part, which must not be changed; the mutex
// is held.
func (t *Table) digests() []uint32 {
	if t.digest != nil {
		return t.digest
	}

	all := make([]uint32, parts)

	for k, l := range t.lines {
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.address))
		_, _ = h.Write(strconv.AppendUint([]byte{byte(k.source), bit(l.On)}, l.Time, 16))
		_, _ = h.Write(strconv.AppendUint([]byte{'-'}, l.Run, 16))
		all[k.hash()%parts] ^= h.Sum32()
	}

	t.digest = all

	return all
}

func bit(on bool) byte {
	if on {
		return 1
	}

	return 0
}
