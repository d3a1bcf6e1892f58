package cwentry

import (
	"bytes"
	"math/rand/v2"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// Errors of a request that two HTTP parsers could understand differently.
const (
	ErrID            = errors.ConstError("entry: the request id is given twice, longer than 128 bytes, or has bytes other than A-Z a-z 0-9 . _ ~ : + / = @ -")
	ErrVersion       = errors.ConstError("entry: the protocol is neither HTTP/1.1 nor HTTP/1.0")
	ErrHost          = errors.ConstError("entry: the request has no Host")
	ErrTrailer       = errors.ConstError("entry: the trailer has a field that belongs into the header")
	ErrRequestTarget = errors.ConstError("entry: the request target is neither a path nor a whole address")
)

// maxIDLength is the maximum length of a caller's request id in bytes.
const maxIDLength = 128

// validIDByte has the bytes that are allowed in a request id. The id is written
// to headers and logs without escaping.
var validIDByte = func() (ok [256]bool) {
	const allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._~:+/=@-"
	for i := range len(allowed) {
		ok[allowed[i]] = true
	}

	return ok
}()

// requestID returns the caller's request id, or a new one if it sent none. If
// the caller's id is invalid, requestID returns an error and a new id.
func requestID(ctx *fasthttp.RequestCtx) (carobward.RequestID, error) {
	id := ctx.Request.Header.Peek(carobward.HeaderID)
	if len(id) == 0 {
		return newID(), nil
	}

	valid := len(id) <= maxIDLength && len(ctx.Request.Header.PeekAll(carobward.HeaderID)) == 1
	for _, b := range id {
		valid = valid && validIDByte[b]
	}

	if !valid {
		return newID(), carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrID)
	}

	return carobward.RequestID(id), nil
}

func newID() carobward.RequestID {
	const base = 36

	return carobward.RequestID(strconv.FormatUint(rand.Uint64(), base))
}

// check returns an error for a request whose framing or form a server could
// interpret differently. Package cwtarget checks the path.
func check(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header
	if err := cwframe.Check(h.RawHeaders()); err != nil {
		return err
	}

	if v := string(h.Protocol()); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return ErrVersion
	}

	if len(h.Host()) == 0 && h.IsHTTP11() {
		return ErrHost
	}

	uri := h.RequestURI()
	if h.IsConnect() || (len(uri) > 0 && uri[0] != '/' && !bytes.Contains(uri, []byte("://"))) {
		return ErrRequestTarget
	}

	return nil
}

// checkTrailer returns an error for a trailer with a field that carobward
// interprets, since the HTTP library looks up header fields in the trailer, too.
func checkTrailer(ctx *fasthttp.RequestCtx) error {
	for name := range ctx.Request.Header.Trailers() {
		if notForwarded(string(name)) {
			return ErrTrailer
		}
	}

	return nil
}

// originForm returns the path and query of a request target, without the scheme
// and host of the absolute form.
func originForm(ctx *fasthttp.RequestCtx) string {
	uri := ctx.RequestURI()
	if uri[0] == '/' {
		return string(uri)
	}

	form := string(ctx.URI().PathOriginal())
	if query := ctx.URI().QueryString(); len(query) > 0 {
		form += "?" + string(query)
	}

	return form
}
