// Package cwframe validates the header block of an HTTP/1.1 message more strictly
// than the HTTP library does. It rejects messages whose framing is ambiguous: two
// parsers could disagree on which bytes belong to the message, which allows request
// smuggling. It also copies header fields out of the library's buffers.
package cwframe

import (
	"bytes"

	"github.com/juju/errors"
)

// Errors of a header block that two parsers could read differently.
const (
	ErrLine   = errors.ConstError("frame: a header line does not end in CRLF")
	ErrFold   = errors.ConstError("frame: a header line is folded")
	ErrName   = errors.ConstError("frame: a header name is not a token")
	ErrValue  = errors.ConstError("frame: a header value has a zero byte")
	ErrLength = errors.ConstError("frame: the length of the body is given more than once")
	ErrCoding = errors.ConstError("frame: the body has a transfer coding other than chunked")
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	chunked          = []byte("chunked")
)

// Check validates the lines of a header block without its start line: each must end
// in CRLF, none may be folded, names must be tokens, values without a zero byte, there must be at most one
// Content-Length or Transfer-Encoding, and the only transfer coding is chunked. See RFC
// 9112, 5.1, 5.2, 6.1 and 6.3.
func Check(block []byte) error {
	lengths := 0

	for len(block) > 0 {
		end := bytes.IndexByte(block, '\n')
		if end < 1 || block[end-1] != '\r' {
			return ErrLine
		}

		line := block[:end-1]
		block = block[end+1:]

		if len(line) == 0 {
			break
		}

		name, err := fieldName(line)
		if err != nil {
			return err
		}

		switch {
		case bytes.IndexByte(line, 0) >= 0:
			return ErrValue
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			lengths++

			if value := bytes.Trim(line[len(name)+1:], " \t"); !bytes.EqualFold(value, chunked) {
				return ErrCoding
			}
		}
	}

	if lengths > 1 {
		return ErrLength
	}

	return nil
}

func fieldName(line []byte) ([]byte, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, ErrFold
	}

	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrLine
	}

	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return nil, ErrName
	}

	for _, b := range line[:colon] {
		if !token[b] {
			return nil, ErrName
		}
	}

	return line[:colon], nil
}

// token is the set of bytes allowed in a token, RFC 9110, 5.6.2.
var token = func() (t [256]bool) {
	const special = "!#$%&'*+-.^_`|~"

	for b := range t {
		c := byte(b)
		t[b] = c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' || bytes.IndexByte([]byte(special), c) >= 0
	}

	return t
}()
