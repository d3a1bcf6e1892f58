// Package cwquarantine keeps requests that end the servers which run them from
// being sent again. All entry VMs share what each of them saw through the
// platform's store, so that a request counts as the same at each of them.
package cwquarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// digestBytes is the length of a digest. A caller can't find a body by trial that
// has the digest of another caller's: that takes 2^64 tries on average.
const digestBytes = 8

// Digest is the start of a SHA-256 sum.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Print tells whether two requests are the same: what a server gets of them, but for
// what is new with each attempt, and who sent them.
type Print struct {
	// Line is the digest of method, host, path and query.
	Line Digest
	// Body is the digest of the body.
	Body Digest
	// Caller is the digest of the caller's IP number and of the header fields
	// that say who it is. The same words of another caller may be another request
	// to a server: its own page, say.
	Caller Digest
}

// content is a print without its caller.
type content struct{ line, body Digest }

func (p Print) content() content { return content{p.Line, p.Body} }

// lineOf returns the first part of a request's print, which costs little.
func lineOf(c *carobward.Call) Digest { return digest(c.Method, c.Host, c.URI) }

// PrintOf returns the print of a request that came from an IP number.
func PrintOf(c *carobward.Call, ip string) Print {
	return Print{
		Line:   lineOf(c),
		Body:   sum(sha256.Sum256(c.Body)),
		Caller: digest(ip, c.Header.Get(fasthttp.HeaderAuthorization), c.Header.Get(fasthttp.HeaderCookie)),
	}
}

// digest returns the digest of some texts, one after the other.
func digest(texts ...string) Digest {
	h := sha256.New()
	for _, t := range texts {
		write(h, t)
	}

	return sum([sha256.Size]byte(h.Sum(nil)))
}

// write adds a text that nothing else ends alike: none of the texts has a zero byte.
func write(h hash.Hash, text string) {
	// A hash takes all.
	_, _ = h.Write(append([]byte(text), 0))
}

func sum(all [sha256.Size]byte) Digest { return Digest(all[:digestBytes]) }

// separator stands between the parts of a print.
const separator = "-"

// String returns the print as it is in logs, in keys of the store and for operators.
func (p Print) String() string {
	return p.Line.String() + separator + p.Body.String() + separator + p.Caller.String()
}

// errPrint is the error of a text that is no print.
const errPrint = errors.ConstError("quarantine: not three numbers of 16 hexadecimal digits with a - between")

// ParsePrint reads a print.
func ParsePrint(text string) (Print, error) {
	const parts = 3

	var d [parts]Digest

	words := strings.Split(text, separator)
	if len(words) != parts {
		return Print{}, errors.Annotatef(errPrint, "%q", text)
	}

	for i, w := range words {
		raw, err := hex.DecodeString(w)
		if err != nil || len(raw) != digestBytes {
			return Print{}, errors.Annotatef(errPrint, "%q", text)
		}

		d[i] = Digest(raw)
	}

	return Print{Line: d[0], Body: d[1], Caller: d[2]}, nil
}
