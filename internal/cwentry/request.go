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

// The errors of a request that two readers could understand differently.
const (
	ErrID      = errors.ConstError("entry: the request id is given twice, longer than 128 bytes, or has bytes other than A-Z a-z 0-9 . _ ~ : + / = @ -")
	ErrVersion = errors.ConstError("entry: the protocol is neither HTTP/1.1 nor HTTP/1.0")
	ErrHost    = errors.ConstError("entry: the request has no Host")
	ErrTrailer = errors.ConstError("entry: the trailer has a field that belongs into the header")
	ErrForm    = errors.ConstError("entry: the request target is neither a path nor a whole address")
)

// idMost bounds a caller's request id in bytes.
const idMost = 128

// idByte has the bytes that a request id may have. It goes into headers and
// logs as it is.
var idByte = func() (ok [256]bool) {
	const all = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._~:+/=@-"
	for i := range len(all) {
		ok[all[i]] = true
	}

	return ok
}()

// requestID returns the caller's request id, or a new one where it gave none.
// With an error the id is a new one.
func requestID(ctx *fasthttp.RequestCtx) (carobward.RequestID, error) {
	id := ctx.Request.Header.Peek(carobward.HeaderID)
	if len(id) == 0 {
		return newID(), nil
	}

	fit := len(id) <= idMost && len(ctx.Request.Header.PeekAll(carobward.HeaderID)) == 1
	for _, b := range id {
		fit = fit && idByte[b]
	}

	if !fit {
		return newID(), carobward.NewFailure(carobward.NotRun, fasthttp.StatusBadRequest, 0, ErrID)
	}

	return carobward.RequestID(id), nil
}

func newID() carobward.RequestID {
	const base = 36

	return carobward.RequestID(strconv.FormatUint(rand.Uint64(), base))
}

// check refuses a request whose bounds or form a server could understand in
// another way than we do. Its path is looked at by package cwtarget.
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
		return ErrForm
	}

	return nil
}

// checkTrailer refuses a trailer with a field that we read: the library looks
// for a field in the trailer, too.
func checkTrailer(ctx *fasthttp.RequestCtx) error {
	for name := range ctx.Request.Header.Trailers() {
		if hop(string(name)) {
			return ErrTrailer
		}
	}

	return nil
}

// originForm returns the path and query of a request, without the address
// that an absolute form begins with.
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
