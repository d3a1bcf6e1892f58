package cwframe

import (
	"iter"
	"sync"

	"carobward.example/carobward"
)

// span holds the offsets in the text at which a field's name and value end.
type span struct{ name, value int }

// copier collects the text of fields before it is converted to one string.
type copier struct {
	text  []byte
	spans []span
}

var copiers = sync.Pool{New: func() any { return new(copier) }}

// maxPooledText is the maximum capacity in bytes of the text of a pooled copier.
const maxPooledText = 64 << 10

// Copy copies the fields for whose names keep returns true into a new Header, since
// the HTTP library reuses its buffers. All names and values share one string.
func Copy(all iter.Seq2[[]byte, []byte], keep func(name []byte) bool) carobward.Header {
	c, _ := copiers.Get().(*copier)
	c.text, c.spans = c.text[:0], c.spans[:0]

	all(func(name, value []byte) bool {
		if keep(name) {
			c.add(name, value)
		}

		return true
	})

	h := c.header()

	if cap(c.text) <= maxPooledText {
		copiers.Put(c)
	}

	return h
}

func (c *copier) add(name, value []byte) {
	c.text = append(c.text, name...)
	end := len(c.text)
	c.text = append(c.text, value...)
	c.spans = append(c.spans, span{end, len(c.text)})
}

func (c *copier) header() carobward.Header {
	text := string(c.text)
	fields := make(carobward.Header, len(c.spans))
	start := 0

	for i, s := range c.spans {
		fields[i] = carobward.Field{Name: text[start:s.name], Value: text[s.name:s.value]}
		start = s.value
	}

	return fields
}

// KeepAll is a filter for Copy that keeps every field.
func KeepAll([]byte) bool { return true }
