package cwframe

import (
	"iter"
	"sync"

	"carobward.example/carobward"
)

// span is where a field's name and value end in the text.
type span struct{ name, value int }

// copier collects fields before their text is fixed.
type copier struct {
	text  []byte
	spans []span
}

var copiers = sync.Pool{New: func() any { return new(copier) }}

// copierMost bounds the text in bytes that a pooled copier keeps.
const copierMost = 64 << 10

// Copy copies the fields that keep wants into a Header of their own, since
// the HTTP library uses its buffers again. All text lies in one string.
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

	if cap(c.text) <= copierMost {
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

// All is a keep that wants every field.
func All([]byte) bool { return true }
