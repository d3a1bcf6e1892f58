package cwentry

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// ErrBodyMemory is the error of a request whose body would exceed the memory
// bound for the bodies of all requests.
const ErrBodyMemory = errors.ConstError("entry: this entry VM holds too many bytes of requests")

// defaultMaxBodies is the bound if Options.Bodies is zero.
const defaultMaxBodies = 128 * carobward.Megabyte

// bodies bounds the memory of request bodies. Memory is reserved before a body
// is read and released when its request is answered.
type bodies struct {
	maxBytes int64
	used     atomic.Int64
}

// take reserves memory in bytes and reports whether there was enough.
func (b *bodies) take(size int64) bool {
	if b.used.Add(size) > b.maxBytes {
		b.used.Add(-size)

		return false
	}

	return true
}

// body reads a request's body, up to the target's size limit. The returned
// function releases the memory and must be called when the request is answered.
func (fw *Forwarder) body(ctx *fasthttp.RequestCtx, target *carobward.Target) ([]byte, func(), error) {
	maxBytes := int64(target.Body)
	length := int64(ctx.Request.Header.ContentLength())
	stream := ctx.RequestBodyStream()

	if length > maxBytes {
		return nil, nil, tooLarge()
	}

	if length == 0 || stream == nil {
		return nil, func() {}, nil
	}

	// The size of a chunked body is unknown: it may be as large as the limit.
	size := length
	if length < 0 {
		size = maxBytes
	}

	if !fw.bodies.take(size) {
		return nil, nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, defaultRetry, ErrBodyMemory)
	}

	release := func() { fw.bodies.used.Add(-size) }

	body, err := readBody(stream, length, maxBytes)
	if err != nil {
		release()

		return nil, nil, err
	}

	return body, release, nil
}

func readBody(stream io.Reader, length, maxBytes int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(stream, body); err != nil {
			return nil, unreadable(err)
		}

		return body, nil
	}

	body, err := io.ReadAll(io.LimitReader(stream, maxBytes+1))
	if err != nil {
		return nil, unreadable(err)
	}

	if int64(len(body)) > maxBytes {
		return nil, tooLarge()
	}

	return body, nil
}

func tooLarge() error {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBodySize)
}

func unreadable(err error) error {
	status, cause := readErrorStatus(err)

	return carobward.NewFailure(carobward.NotRun, status, 0, cause)
}
