package cwfront

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// minStreamBytes is the length from which on a reply is streamed to the caller as it
// arrives, no faster than the caller takes it. Shorter ones are buffered whole, so that a broken
// one can be fetched again from another server, while the budget for replies has memory.
const minStreamBytes = 32 * carobward.Kilobyte

// streamedBody is a reply's body that is streamed to the caller. The HTTP library reads it
// to its end and closes it. If reading fails, the library closes the caller's connection.
type streamedBody struct {
	front *Front
	id    carobward.RequestID
	// server is nil if the reply comes by way of another entry VM.
	server   *cwbackend.Server
	instance carobward.Instance
	body     io.ReadCloser
	// release gives back the memory of its begin; nil if that takes none.
	release func()
	// length is carobward.UnknownLength if only the end of the body shows it.
	length int
	read   int
	ended  bool
	err    error
	once   sync.Once
}

// stream returns the body of a reply as the caller gets it. The request counts as in
// flight until the body is closed.
func (f *Front) stream(r *request) io.Reader {
	f.inFlight.Add(1)
	f.counts.Add(countStreamed, 1)

	return &streamedBody{front: f, id: r.id, server: r.streamedFrom, instance: r.server, body: r.reply.Stream, release: r.reply.Release, length: r.reply.Stream.Length}
}

// heldBody is a reply's body that was held whole. It gives the memory back once it is written.
type heldBody struct {
	bytes.Reader

	once    sync.Once
	release func()
}

func newHeldBody(r *carobward.Reply) *heldBody {
	b := &heldBody{release: r.Release}
	b.Reset(r.Body)

	return b
}

// Close releases the body.
func (b *heldBody) Close() error {
	b.once.Do(b.release)

	return nil
}

// Read implements io.Reader.
func (b *streamedBody) Read(into []byte) (int, error) {
	n, err := b.body.Read(into)
	b.read += n

	switch {
	case errors.Is(err, io.EOF), b.read == b.length:
		b.ended = true
	case err != nil:
		b.err = err
	}

	return n, err
}

// Close releases the body, also if the caller disconnected before its end.
func (b *streamedBody) Close() error {
	b.once.Do(b.finish)

	return nil
}

func (b *streamedBody) finish() {
	f := b.front

	// Close never returns an error here.
	_ = b.body.Close()

	if b.release != nil {
		b.release()
	}

	f.inFlight.Add(-1)

	if b.ended {
		return
	}

	f.counts.Add(countBroken, 1)

	cause := "the caller stopped reading"
	if b.err != nil {
		cause = b.err.Error()

		if b.server != nil {
			b.server.RecordHealthCheck(f.Clock.Now(), cwbackend.Broken)
		}
	}

	f.Log.Info("A streamed reply ended early.", "id", b.id, "server", b.instance,
		"bytes", b.read, "of", b.length, "cause", cause)
}
