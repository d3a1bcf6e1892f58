package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The bounds of one caller.
const (
	// writeTimeout is how long a caller waits for an entry VM that reads nothing.
	writeTimeout = 10 * time.Second
	// endless is how much a caller sends whose body has no end, unless it is stopped before.
	endless = 32 << 20
	// pieceBytes is what a caller writes at once.
	pieceBytes = 16 << 10
)

// piece is a part of a body.
var piece = bytes.Repeat([]byte("0123456789abcdef"), pieceBytes/16)

// caller sends what a case says over one connection.
type caller struct {
	net.Conn

	// number is the caller's, from 0.
	number int
	// path is the path of its requests.
	path string
	// fields are header lines that all its requests have.
	fields string
}

// head returns a request's head without the empty line that ends it.
func (c *caller) head(method string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: c-%d\r\nDeadline-Ms: 20000\r\n%s%s", method, c.path, host, c.number, c.fields,
		strings.Join(append(fields, ""), "\r\n"))
}

// begin sends a head with a field that says how long the body is.
func (c *caller) begin(fields ...string) error {
	_, err := io.WriteString(c, c.head(http.MethodPost, fields...)+"\r\n")

	return err
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// fill sends n bytes.
func (c *caller) fill(n int) error {
	for n > 0 {
		sent, err := c.Write(piece[:min(n, len(piece))])
		if n -= sent; err != nil {
			return err
		}
	}

	return nil
}

// chunks sends chunks of a size that have n bytes together.
func (c *caller) chunks(n, size int) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	batch := max(1, pieceBytes/len(one))
	text := strings.Repeat(one, batch)

	for ; n > 0; n -= batch * size {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}

	return nil
}

// repeat sends a text again and again until so many bytes are sent.
func (c *caller) repeat(text string, bytes int) error {
	text = strings.Repeat(text, max(1, pieceBytes/len(text)))

	for ; bytes > 0; bytes -= len(text) {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}

	return nil
}

// await reads an interim answer, or a final one in its place.
func (c *caller) await() error {
	if err := c.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	_, err := c.Read(make([]byte, len(piece)))

	return err
}

// finish reads the answer of a request that was sent whole.
func (c *caller) finish() error {
	if err := c.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}

	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return err
}

// first returns the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}

// behaviour is what one caller sends. It ends when all is sent or the connection has ended; the connection
// stays open until the case is over.
type behaviour func(c *caller) error

// sends returns a behaviour that sends a head and then a body.
func sends(body func(c *caller) error, fields ...string) behaviour {
	return func(c *caller) error {
		if err := c.begin(fields...); err != nil {
			return err
		}

		return body(c)
	}
}

// allBut returns a body of a length without its last bytes.
func allBut(n, missing int) behaviour {
	return sends(func(c *caller) error { return c.fill(n - missing) }, length(n))
}

// wholeAgain sends complete requests one after the other.
func wholeAgain(n, times int) behaviour {
	return func(c *caller) error {
		for range times {
			if err := first(c.begin(length(n)), c.fill(n), c.finish()); err != nil {
				return err
			}
		}

		return nil
	}
}

// openChunks returns a body in chunks without the last one.
func openChunks(n, size int) behaviour {
	return sends(func(c *caller) error { return c.chunks(n, size) }, chunked)
}

// text returns a body that begins with a text and then repeats another one.
func text(begin, again string, bytes int) behaviour {
	return sends(func(c *caller) error {
		if _, err := io.WriteString(c, begin); err != nil {
			return err
		}

		return c.repeat(again, bytes)
	}, chunked)
}

// openHead sends a head of a size without its last byte.
func openHead(bytes int) behaviour {
	return func(c *caller) error {
		begin := c.head(http.MethodGet) + "X-Fill: "
		_, err := io.WriteString(c, begin+strings.Repeat("x", bytes-len(begin)-len("\r\n\r\n"))+"\r\n\r")

		return err
	}
}

// sendAhead sends requests and reads no answer.
func sendAhead(c *caller) error {
	const requests = 20

	_, err := io.WriteString(c, strings.Repeat(c.head(http.MethodGet)+"\r\n", requests))

	return err
}
