package cwentry

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// ErrBodies tells that the bodies of all requests here take too much memory.
const ErrBodies = errors.ConstError("entry: this entry VM holds too many bytes of requests")

// bodiesDefault is the bound where the options give none.
const bodiesDefault = 128 * carobward.Megabyte

// bodies bounds the memory of request bodies, from before they are read until
// their requests are answered.
type bodies struct {
	most int64
	used atomic.Int64
}

// take reserves bytes and tells whether there was room.
func (b *bodies) take(size int64) bool {
	if b.used.Add(size) > b.most {
		b.used.Add(-size)

		return false
	}

	return true
}

// body reads a request's body within the target's bound. The function gives
// its memory back and must be called once the request is answered.
func (c *Carrier) body(ctx *fasthttp.RequestCtx, target *carobward.Target) ([]byte, func(), error) {
	most := int64(target.Body)
	length := int64(ctx.Request.Header.ContentLength())
	stream := ctx.RequestBodyStream()

	if length > most {
		return nil, nil, tooLarge()
	}

	if length == 0 || stream == nil {
		return nil, func() {}, nil
	}

	// A chunked body may become as large as the bound.
	size := length
	if length < 0 {
		size = most
	}

	if !c.bodies.take(size) {
		return nil, nil, carobward.NewFailure(carobward.NotRun, fasthttp.StatusServiceUnavailable, retryAfter, ErrBodies)
	}

	release := func() { c.bodies.used.Add(-size) }

	body, err := readBody(stream, length, most)
	if err != nil {
		release()

		return nil, nil, err
	}

	return body, release, nil
}

func readBody(stream io.Reader, length, most int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(stream, body); err != nil {
			return nil, unreadable(err)
		}

		return body, nil
	}

	body, err := io.ReadAll(io.LimitReader(stream, most+1))
	if err != nil {
		return nil, unreadable(err)
	}

	if int64(len(body)) > most {
		return nil, tooLarge()
	}

	return body, nil
}

func tooLarge() error {
	return carobward.NewFailure(carobward.NotRun, fasthttp.StatusRequestEntityTooLarge, 0, ErrBody)
}

func unreadable(err error) error {
	status, cause := refusal(err)

	return carobward.NewFailure(carobward.NotRun, status, 0, cause)
}
