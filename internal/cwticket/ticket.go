// Package cwticket implements the tickets of requests that must run at most
// once, and the table in which a ticket's owner records their outcomes.
//
// A ticket names its owner: the only run (incarnation) of an entry VM that
// may start the work. Two entry VMs can therefore never both start it, and
// neither a lease nor a write to the store is needed.
package cwticket

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// Errors of Parse.
const (
	ErrFormat  = errors.ConstError("ticket: want what the address answer has under \"ticket\", a dot and a number")
	ErrVersion = errors.ConstError("ticket: the format is of another version")
)

// Owner is the run of an entry VM that issued a ticket.
type Owner struct {
	VM          carobward.VMID
	Incarnation carobward.Incarnation
}

// Key identifies a ticket among those of one owner.
type Key struct {
	// Issued is the owner's age in milliseconds when it issued the prefix.
	Issued uint64
	// Nonce differs for each prefix that the owner issues.
	Nonce uint64
	// Number is set by the caller, a different one for each piece of work.
	Number uint64
}

// issued returns the owner's age when it issued the prefix.
func (k Key) issued() time.Duration { return time.Duration(k.Issued) * time.Millisecond }

// Ticket is a parsed ticket. Only its owner can verify the checksum, which is
// keyed with the owner's secret.
type Ticket struct {
	Owner Owner
	Key   Key
	sum   [sumSize]byte
}

// The layout of a prefix before base64 encoding: the version byte, three
// numbers (incarnation, issue time, nonce), the checksum, and the id of the
// VM. Sizes are in bytes.
const (
	version     = 1
	sumSize     = 16
	numberSize  = 8
	headSize    = 1 + 3*numberSize
	fixedSize   = headSize + sumSize
	maxVMSize   = 128
	maxTextSize = 256 + 20 + 1
)

var encoding = base64.RawURLEncoding.Strict()

// Parse parses the text of a ticket. It does not verify the checksum.
func Parse(text string) (Ticket, error) {
	prefix, number, ok := strings.Cut(text, ".")
	if !ok || len(text) > maxTextSize || strings.ContainsAny(prefix, "\r\n") { // The base64 decoder ignores line breaks.
		return Ticket{}, ErrFormat
	}

	raw, err := encoding.DecodeString(prefix)
	if err != nil || len(raw) <= fixedSize || len(raw) > fixedSize+maxVMSize {
		return Ticket{}, ErrFormat
	}

	if raw[0] != version {
		return Ticket{}, ErrVersion
	}

	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != number {
		return Ticket{}, ErrFormat
	}

	field := func(i int) uint64 { return binary.BigEndian.Uint64(raw[1+i*numberSize:]) }

	return Ticket{
		Owner: Owner{VM: carobward.VMID(raw[fixedSize:]), Incarnation: carobward.Incarnation(field(0))},
		Key:   Key{Issued: field(1), Nonce: field(2), Number: n},
		sum:   [sumSize]byte(raw[headSize:fixedSize]),
	}, nil
}

// String returns the text of the ticket: prefix, dot and number.
func (t Ticket) String() string {
	return t.prefix() + "." + strconv.FormatUint(t.Key.Number, 10)
}

// prefix returns the text of the ticket without the dot and the caller's
// number.
func (t Ticket) prefix() string {
	raw := t.head()
	raw = append(raw, t.sum[:]...)
	raw = append(raw, t.Owner.VM...)

	return encoding.EncodeToString(raw)
}

// head returns the bytes before the checksum.
func (t Ticket) head() []byte {
	raw := make([]byte, 0, fixedSize+len(t.Owner.VM))
	raw = append(raw, version)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Owner.Incarnation))
	raw = binary.BigEndian.AppendUint64(raw, t.Key.Issued)

	return binary.BigEndian.AppendUint64(raw, t.Key.Nonce)
}

// Digest identifies the content of a call, to detect a ticket that is reused
// for another request.
type Digest [16]byte

// DigestOf returns the digest of a call's method, URI and body. It leaves out
// the Host field: callers connect by IP address, so a retry at another entry
// VM has another Host.
func DigestOf(c *carobward.Call) Digest {
	h := sha256.New()

	for _, part := range []string{c.Method, c.URI} {
		var size [numberSize]byte

		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}

	for _, block := range c.Body {
		_, _ = h.Write(block)
	}

	return Digest(h.Sum(nil))
}
