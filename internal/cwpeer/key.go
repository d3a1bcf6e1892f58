package cwpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Key is the secret that all entry VMs share and authenticate with. An empty key
// allows only loopback addresses.
type Key []byte

// Sizes of nonces and of datagram tags in bytes. An HMAC may be truncated to half of
// its length, RFC 2104, section 5.
const (
	nonceSize = 32
	tagSize   = sha256.Size / 2
)

// Labels for domain separation: the proof of one side is not valid as the proof of the
// other side or as the tag of a datagram.
const (
	labelServer   = "carobward peer server"
	labelClient   = "carobward peer client"
	labelDatagram = "carobward peer datagram"
)

// Errors of authentication.
const (
	ErrKey      = errors.ConstError("peer: the other side has another key")
	ErrLoopback = errors.ConstError("peer: without a key only loopback is allowed")
	ErrDatagram = errors.ConstError("peer: the datagram is too short or has a wrong tag")
)

func (k Key) mac(label string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write([]byte(label))

	for _, p := range parts {
		h.Write(p)
	}

	return h.Sum(nil)
}

// allows reports whether this key may be used with an address. An empty key may be
// used with loopback addresses only.
func (k Key) allows(a net.Addr) bool {
	if len(k) > 0 {
		return true
	}

	ap, err := netip.ParseAddrPort(a.String())

	return err == nil && ap.Addr().Unmap().IsLoopback()
}

// Seal appends an authentication tag to a datagram.
func (k Key) Seal(raw []byte) []byte {
	return append(raw, k.mac(labelDatagram, raw)[:tagSize]...)
}

// Open returns a datagram without its tag. It fails if the tag was not made with this
// key, or if the key may not be used with the sender's address.
func (k Key) Open(sealed []byte, from net.Addr) ([]byte, error) {
	if !k.allows(from) {
		return nil, ErrLoopback
	}

	if len(sealed) < tagSize {
		return nil, ErrDatagram
	}

	raw, tag := sealed[:len(sealed)-tagSize], sealed[len(sealed)-tagSize:]
	if !hmac.Equal(tag, k.mac(labelDatagram, raw)[:tagSize]) {
		return nil, ErrDatagram
	}

	return raw, nil
}

func newNonce() []byte {
	n := make([]byte, nonceSize)
	_, _ = rand.Read(n) // Never returns an error, see crypto/rand.

	return n
}
