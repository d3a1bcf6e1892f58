package cwframe

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// Errors of a reply's header block.
const (
	// ErrStatusLine means that the first line is no status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to
	// 599.
	ErrStatusLine = errors.ConstError("frame: the reply has no valid status line")
	// ErrBlockSize means that a header block is larger than is accepted.
	ErrBlockSize = errors.ConstError("frame: the header block is too large")
)

var (
	lineEnd  = []byte("\r\n")
	blockEnd = []byte("\r\n\r\n")
)

// The valid statuses.
const (
	minStatus = 100
	minFinal  = 200
	maxStatus = 599
)

// CheckReply validates the header block of a reply with its status line, see Check and RFC 9112, 4, and returns the
// status. The HTTP library takes some other lines for a status, such as 000 for 200.
func CheckReply(block []byte) (int, error) {
	line, fields, ok := bytes.Cut(block, lineEnd)
	if !ok {
		return 0, ErrStatusLine
	}

	status, ok := parseStatusLine(line)
	if !ok {
		return 0, ErrStatusLine
	}

	return status, Check(fields)
}

// IsFinal reports whether a status is not that of an interim reply.
func IsFinal(status int) bool { return status >= minFinal }

// parseStatusLine returns the status of a status line.
func parseStatusLine(line []byte) (int, bool) {
	const digits = 3

	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.Equal(version, []byte("HTTP/1.1")) && !bytes.Equal(version, []byte("HTTP/1.0")) {
		return 0, false
	}

	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != digits || bytes.ContainsAny(reason, "\x00\r\n") {
		return 0, false
	}

	status := 0

	for _, b := range code {
		if b < '0' || b > '9' {
			return 0, false
		}

		status = 10*status + int(b-'0')
	}

	return status, status >= minStatus && status <= maxStatus
}

// PeekBlock waits for a complete header block and returns it unread. The error is ErrBlockSize if the reader's
// buffer has no room for it.
func PeekBlock(r *bufio.Reader) ([]byte, error) {
	seen := 0

	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}

		from := max(0, seen-len(blockEnd))
		if i := bytes.Index(b[from:], blockEnd); i >= 0 {
			return b[:from+i+len(blockEnd)], nil
		}

		seen = len(b)

		_, err = r.Peek(seen + 1)

		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, ErrBlockSize
		case errors.Is(err, io.EOF) && seen > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
