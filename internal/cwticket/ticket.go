// Package cwticket has the tickets of work that runs at most once, and the
// table in which their owner keeps what became of each.
//
// A ticket names the one run of an entry VM, its owner, that may ever start
// the work. So no two entry VMs can both believe that they may, and neither a
// lease nor a write to the store is needed.
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

// The errors of a text that is no ticket.
const (
	ErrFormat  = errors.ConstError("ticket: want what the address answer has under \"ticket\", a dot and a number")
	ErrVersion = errors.ConstError("ticket: the format is of another version")
)

// Owner is the run of an entry VM that issued a ticket.
type Owner struct {
	VM          carobward.VMID
	Incarnation carobward.Incarnation
}

// Key names a ticket among those of one owner.
type Key struct {
	// Issued is the owner's age in milliseconds when it issued the prefix.
	Issued uint64
	// Nonce is drawn for each prefix.
	Nonce uint64
	// Number is the caller's own, one for each piece of work.
	Number uint64
}

// issued returns the owner's age when it issued the prefix.
func (k Key) issued() time.Duration { return time.Duration(k.Issued) * time.Millisecond }

// Ticket is a parsed ticket. Only its owner can tell whether the sum is
// right.
type Ticket struct {
	Owner Owner
	Key   Key
	sum   [sumSize]byte
}

// The layout of a prefix before it is encoded: the version, three numbers,
// the sum, and the VM's id as the rest.
const (
	version    = 1
	sumSize    = 16
	numberSize = 8
	headSize   = 1 + 3*numberSize
	bareSize   = headSize + sumSize
	vmMost     = 128
	textMost   = 256 + 20 + 1
)

var encoding = base64.RawURLEncoding.Strict()

// Parse reads a ticket. It does not check the sum.
func Parse(text string) (Ticket, error) {
	prefix, number, ok := strings.Cut(text, ".")
	if !ok || len(text) > textMost || strings.ContainsAny(prefix, "\r\n") { // Base64 skips line ends.
		return Ticket{}, ErrFormat
	}

	raw, err := encoding.DecodeString(prefix)
	if err != nil || len(raw) <= bareSize || len(raw) > bareSize+vmMost {
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
		Owner: Owner{VM: carobward.VMID(raw[bareSize:]), Incarnation: carobward.Incarnation(field(0))},
		Key:   Key{Issued: field(1), Nonce: field(2), Number: n},
		sum:   [sumSize]byte(raw[headSize:bareSize]),
	}, nil
}

// String returns the ticket as text.
func (t Ticket) String() string {
	return t.prefix() + "." + strconv.FormatUint(t.Key.Number, 10)
}

// prefix returns the text without the caller's number.
func (t Ticket) prefix() string {
	raw := t.head()
	raw = append(raw, t.sum[:]...)
	raw = append(raw, t.Owner.VM...)

	return encoding.EncodeToString(raw)
}

// head returns what goes before the sum.
func (t Ticket) head() []byte {
	raw := make([]byte, 0, bareSize+len(t.Owner.VM))
	raw = append(raw, version)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Owner.Incarnation))
	raw = binary.BigEndian.AppendUint64(raw, t.Key.Issued)

	return binary.BigEndian.AppendUint64(raw, t.Key.Nonce)
}

// Digest tells the content of one call from another's.
type Digest [16]byte

// DigestOf returns the digest of a call's method, URI and body. The Host is
// left out: callers connect by IP number, so a retry elsewhere has another.
func DigestOf(c *carobward.Call) Digest {
	h := sha256.New()

	for _, part := range []string{c.Method, c.URI} {
		var size [numberSize]byte

		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}

	_, _ = h.Write(c.Body)

	return Digest(h.Sum(nil))
}
