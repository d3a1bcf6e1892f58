package cwstand

import (
	"io"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// Relay passes connections on to a server and adds a time one way to bytes
// and closes. A connect costs no more than without it.
type Relay struct {
	*acceptor
	to     carobward.Address
	oneWay time.Duration
}

// NewRelay returns a relay that takes connections from the listener until
// Close.
func NewRelay(ln net.Listener, to carobward.Address, oneWay time.Duration) *Relay {
	r := &Relay{to: to, oneWay: oneWay}
	r.acceptor = accept(ln, r.serve)

	return r
}

func (r *Relay) serve(c net.Conn) {
	s, err := net.Dial("tcp", string(r.to))
	if err != nil {
		return
	}

	var group conc.WaitGroup

	group.Go(func() { r.delay(s, c) })
	r.delay(c, s)
	group.Wait()
}

// piece is what came in one read; no bytes stand for the end.
type piece struct {
	due   time.Time
	bytes []byte
}

// delay copies what comes after the time one way, and closes the connection
// that it copies to at the end.
func (r *Relay) delay(to, from net.Conn) {
	const most = 64

	pieces := make(chan piece, most)

	var group conc.WaitGroup

	group.Go(func() { r.read(from, pieces) })

	for p := range pieces {
		time.Sleep(time.Until(p.due))

		if len(p.bytes) == 0 {
			break
		}

		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}

	_ = to.Close()

	// The reader ends once the other direction has closed its connection.
	for range pieces {
		continue
	}

	group.Wait()
}

// read reads until the end and tells of it.
func (r *Relay) read(from io.Reader, pieces chan<- piece) {
	const size = 4 << 10

	defer close(pieces)

	for {
		buffer := make([]byte, size)
		n, err := from.Read(buffer)
		pieces <- piece{time.Now().Add(r.oneWay), buffer[:n]}

		if err != nil {
			return
		}
	}
}
