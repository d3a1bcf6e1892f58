package carobward

import (
	"bytes"
	"slices"
)

// Body is the body of a request in blocks, so that one of unknown length is held without being copied. The
// blocks must not be changed: sends of the same request share them.
type Body [][]byte

// BodyOf returns a body of one block, or nil if it is empty.
func BodyOf(raw []byte) Body {
	if len(raw) == 0 {
		return nil
	}

	return Body{raw}
}

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}

	return n
}

// Bytes returns the body as one slice, without a copy if it has one block.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}

	return slices.Concat(b...)
}

// Equal reports whether two bodies have the same bytes.
func (b Body) Equal(other Body) bool { return bytes.Equal(b.Bytes(), other.Bytes()) }
