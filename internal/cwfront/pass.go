package cwfront

import (
	"io"
	"sync"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// streamLeast is the length of a reply in bytes from which on it is passed on as it
// comes. Shorter ones are held whole, so that a broken one can be fetched again from
// another server: 80 MB at the most, with as many callers as there may be.
const streamLeast = 32 * carobward.Kilobyte

// passing is a reply's body on its way to the caller. The HTTP library reads it to
// its end, or breaks the caller's connection off where that fails, and closes it.
type passing struct {
	front  *Front
	id     carobward.RequestID
	server *cwbackend.Server
	body   io.ReadCloser
	length int
	passed int
	err    error
	once   sync.Once
}

// pass returns the body of a reply as the caller gets it. The request counts as
// carried until the body is closed.
func (f *Front) pass(r *request) io.Reader {
	f.flight.Add(1)
	f.counts.Add(countPassed, 1)

	return &passing{front: f, id: r.id, server: r.passed, body: r.reply.Stream, length: r.reply.Stream.Length}
}

// Read implements io.Reader.
func (p *passing) Read(into []byte) (int, error) {
	n, err := p.body.Read(into)
	p.passed += n

	if err != nil && !errors.Is(err, io.EOF) {
		p.err = err
	}

	return n, err
}

// Close ends the work on the body, also where the caller left before its end.
func (p *passing) Close() error {
	p.once.Do(p.end)

	return nil
}

func (p *passing) end() {
	f := p.front

	// It has no error.
	_ = p.body.Close()

	f.flight.Add(-1)

	if p.passed == p.length {
		return
	}

	f.counts.Add(countBroken, 1)

	cause := "the caller read no further"
	if p.err != nil {
		cause = p.err.Error()
		p.server.Looked(f.Clock.Now(), cwbackend.Broken)
	}

	f.Log.Info("A reply broke off on its way.", "id", p.id, "server", p.server.Backend().Instance,
		"bytes", p.passed, "of", p.length, "cause", cause)
}
