// Package cwquarantine decides which requests are not sent because servers crash while they handle
// them. All entry VMs share the crashes that they see through the platform's store, so that they
// reach the same decision about a request.
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

// digestSize is the length of a digest in bytes. A caller can't find by brute force a body with the
// same digest as another caller's: that takes 2^64 tries on average.
const digestSize = 8

// Digest is the start of a SHA-256 sum.
type Digest [digestSize]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Fingerprint identifies a request: two requests with the same fingerprint count as the same one.
// It covers what a server receives, except for fields that are new with each attempt, and who sent
// it.
type Fingerprint struct {
	// Line is the digest of method, host, path and query.
	Line Digest
	// Body is the digest of the body.
	Body Digest
	// Caller is the digest of the caller's IP number and of the header fields that identify the
	// caller. The same bytes from another caller may be another request to a server, such as one
	// for the caller's own page.
	Caller Digest
}

// contentKey is a fingerprint without its caller.
type contentKey struct{ line, body Digest }

func (fp Fingerprint) contentKey() contentKey { return contentKey{fp.Line, fp.Body} }

// lineDigest returns the first part of a request's fingerprint, which is cheap to compute.
func lineDigest(c *carobward.Call) Digest { return digest(c.Method, c.Host, c.URI) }

// FingerprintOf returns the fingerprint of a request that came from an IP number.
func FingerprintOf(c *carobward.Call, ip string) Fingerprint {
	return Fingerprint{
		Line:   lineDigest(c),
		Body:   bodyDigest(c.Body),
		Caller: digest(ip, c.Header.Get(fasthttp.HeaderAuthorization), c.Header.Get(fasthttp.HeaderCookie)),
	}
}

// bodyDigest returns the digest of a body.
func bodyDigest(body carobward.Body) Digest {
	h := sha256.New()
	for _, block := range body {
		_, _ = h.Write(block) // It never returns an error.
	}

	return truncate([sha256.Size]byte(h.Sum(nil)))
}

// digest returns the digest of a sequence of strings.
func digest(texts ...string) Digest {
	h := sha256.New()
	for _, t := range texts {
		writeText(h, t)
	}

	return truncate([sha256.Size]byte(h.Sum(nil)))
}

// writeText adds a string and a zero byte to a hash. No string contains a zero byte, so that
// different sequences of strings can't give the same input.
func writeText(h hash.Hash, text string) {
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write(append([]byte(text), 0))
}

func truncate(all [sha256.Size]byte) Digest { return Digest(all[:digestSize]) }

// separator stands between the parts of a fingerprint.
const separator = "-"

// String returns the fingerprint as it appears in logs, in keys of the store and to operators.
func (fp Fingerprint) String() string {
	return fp.Line.String() + separator + fp.Body.String() + separator + fp.Caller.String()
}

// errFingerprint is the error of a string that is not a fingerprint.
const errFingerprint = errors.ConstError("quarantine: not three numbers of 16 hexadecimal digits with a - between")

// ParseFingerprint parses a fingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	const parts = 3

	var d [parts]Digest

	words := strings.Split(text, separator)
	if len(words) != parts {
		return Fingerprint{}, errors.Annotatef(errFingerprint, "%q", text)
	}

	for i, w := range words {
		raw, err := hex.DecodeString(w)
		if err != nil || len(raw) != digestSize {
			return Fingerprint{}, errors.Annotatef(errFingerprint, "%q", text)
		}

		d[i] = Digest(raw)
	}

	return Fingerprint{Line: d[0], Body: d[1], Caller: d[2]}, nil
}
