package cwstand

import (
	"io"
	"net"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
)

// Relay forwards connections to a server and delays data and closes by a fixed
// one-way latency. Connecting takes no longer than without it.
type Relay struct {
	*acceptor
	to     carobward.Address
	oneWay time.Duration
}

// NewRelay returns a relay that accepts connections from the listener until
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

// piece is the data of one read. Empty data marks the end of the stream.
type piece struct {
	due   time.Time
	bytes []byte
}

// delay copies data with the one-way latency, and closes the destination when
// the source has ended.
func (r *Relay) delay(to, from net.Conn) {
	const maxPieces = 64

	pieces := make(chan piece, maxPieces)

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

	// The reader stops once the other direction has closed the source.
	for range pieces {
		continue
	}

	group.Wait()
}

// read sends each piece of data that it reads to the channel, then the end of
// the stream.
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
