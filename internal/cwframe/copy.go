package cwframe

import (
	"iter"
	"strings"

	"carobward.example/carobward"
)

// Copy copies the fields that keep wants into a Header of their own, since
// the HTTP library uses its buffers again. All text lies in one string.
func Copy(all iter.Seq2[[]byte, []byte], keep func(name []byte) bool) carobward.Header {
	count, size := 0, 0

	for k, v := range all {
		if keep(k) {
			count++
			size += len(k) + len(v)
		}
	}

	var text strings.Builder

	text.Grow(size)

	for k, v := range all {
		if keep(k) {
			text.Write(k)
			text.Write(v)
		}
	}

	fields := make(carobward.Header, 0, count)
	rest := text.String()

	for k, v := range all {
		if keep(k) {
			end := len(k) + len(v)
			fields = append(fields, carobward.Field{Name: rest[:len(k)], Value: rest[len(k):end]})
			rest = rest[end:]
		}
	}

	return fields
}

// All is a keep that wants every field.
func All([]byte) bool { return true }
