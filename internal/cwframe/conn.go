package cwframe

import (
	"bufio"
	"net"
	"time"

	"github.com/juju/errors"
)

// maxBlock is the maximum size of a reply's header block in bytes.
const maxBlock = 16 << 10

// ErrSurplus is the error of a connection that brought more than the reply to the request before.
const ErrSurplus = errors.ConstError("frame: there was more than one reply to a request")

// Conn is a connection of an HTTP client that validates the header block of each reply before the client reads it.
// The client must write a request whole before it reads the reply. Conn is not safe for concurrent reads and writes.
type Conn struct {
	net.Conn

	reader *bufio.Reader
	// head is how many bytes of validated header blocks the client has not read. Inside is set while the client
	// reads a final reply.
	head   int
	inside bool
}

// NewConn returns a connection whose replies are validated.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, reader: bufio.NewReaderSize(c, maxBlock)} }

// Dialer returns a function for the HTTP library that opens validated connections within a time.
func Dialer(within time.Duration) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		c, err := net.DialTimeout("tcp", address, within)
		if err != nil {
			return nil, err
		}

		return NewConn(c), nil
	}
}

// Write implements net.Conn. It begins a request if a reply was read before.
func (c *Conn) Write(p []byte) (int, error) {
	if c.inside {
		if c.head > 0 || c.reader.Buffered() > 0 {
			return 0, ErrSurplus
		}

		c.inside = false
	}

	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.head == 0 && !c.inside {
		if err := c.readBlock(); err != nil {
			return 0, err
		}
	}

	if c.head > 0 {
		p = p[:min(len(p), c.head)]
	}

	n, err := c.reader.Read(p)
	c.head = max(0, c.head-n)

	return n, err
}

// readBlock validates the next header block.
func (c *Conn) readBlock() error {
	block, err := PeekBlock(c.reader)
	if err != nil {
		return err
	}

	status, err := CheckReply(block)
	if err != nil {
		return err
	}

	c.head, c.inside = len(block), IsFinal(status)

	return nil
}
