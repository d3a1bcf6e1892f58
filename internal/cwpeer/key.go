package cwpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Key is what all entry VMs share and prove to each other. An empty key is
// good for loopback only.
type Key []byte

// The sizes of the authentication, in bytes. A tag may be half of the hash,
// RFC 2104, section 5.
const (
	nonceSize = 32
	tagSize   = sha256.Size / 2
)

// The labels keep one side's proof from passing for the other's, and a
// proof from passing for a tag.
const (
	labelServer   = "carobward peer server"
	labelClient   = "carobward peer client"
	labelDatagram = "carobward peer datagram"
)

// The errors of authentication.
const (
	ErrKey      = errors.ConstError("peer: the other side has another key")
	ErrLoopback = errors.ConstError("peer: without a key only loopback is allowed")
	ErrDatagram = errors.ConstError("peer: the datagram is too short or has a wrong tag")
)

func (k Key) sum(label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write([]byte(label))

	for _, p := range parts {
		h.Write(p)
	}

	return h.Sum(nil)
}

// allows tells whether this key may be used with an address.
func (k Key) allows(a net.Addr) bool {
	if len(k) > 0 {
		return true
	}

	ap, err := netip.ParseAddrPort(a.String())

	return err == nil && ap.Addr().Unmap().IsLoopback()
}

// Seal appends a tag to a datagram.
func (k Key) Seal(raw []byte) []byte {
	return append(raw, k.sum(labelDatagram, raw)[:tagSize]...)
}

// Open returns a datagram without its tag, or an error if the tag was not
// made with this key, or if the sender is not one that the key is good for.
func (k Key) Open(sealed []byte, from net.Addr) ([]byte, error) {
	if !k.allows(from) {
		return nil, ErrLoopback
	}

	if len(sealed) < tagSize {
		return nil, ErrDatagram
	}

	raw, tag := sealed[:len(sealed)-tagSize], sealed[len(sealed)-tagSize:]
	if !hmac.Equal(tag, k.sum(labelDatagram, raw)[:tagSize]) {
		return nil, ErrDatagram
	}

	return raw, nil
}

func newNonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n) // It never fails, see crypto/rand.

	return n
}
