package cwpeer

import (
	"crypto/hmac"
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwwire"
)

// Limits on a connection before its peer is authenticated: the time for the
// handshake, and the size of its messages in bytes.
const (
	handshakeTimeout    = time.Second
	maxHandshakeMessage = 128
)

// handshake authenticates both sides to each other before any call is read. Both
// proofs cover fresh nonces of both sides, so that they can't be replayed.
//
//	client: nonce
//	server: nonce, proof
//	client: proof
func handshake(c net.Conn, s *stream, side func(*stream) error) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Annotate(err, "peer")
	}

	if err := side(s); err != nil {
		return errors.Annotate(err, "peer: greeting")
	}

	return errors.Annotate(c.SetDeadline(time.Time{}), "peer")
}

// clientHandshake runs the handshake on the side that opened the connection.
func (k Key) clientHandshake(s *stream) error {
	nonce := newNonce()

	if err := s.write(&cwwire.Challenge{Nonce: nonce}); err != nil {
		return err
	}

	answer, err := readChallenge(s)
	if err != nil {
		return err
	}

	if len(answer.Nonce) != nonceSize || !hmac.Equal(answer.Proof, k.mac(labelServer, nonce, answer.Nonce)) {
		return ErrKey
	}

	return s.write(&cwwire.Challenge{Proof: k.mac(labelClient, nonce, answer.Nonce)})
}

// serverHandshake runs the handshake on the side that accepted the connection.
func (k Key) serverHandshake(s *stream) error {
	first, err := readChallenge(s)
	if err != nil {
		return err
	}

	if len(first.Nonce) != nonceSize {
		return ErrKey
	}

	nonce := newNonce()
	if err := s.write(&cwwire.Challenge{Nonce: nonce, Proof: k.mac(labelServer, first.Nonce, nonce)}); err != nil {
		return err
	}

	last, err := readChallenge(s)
	if err != nil {
		return err
	}

	if !hmac.Equal(last.Proof, k.mac(labelClient, first.Nonce, nonce)) {
		return ErrKey
	}

	return nil
}

func readChallenge(s *stream) (*cwwire.Challenge, error) {
	m := &cwwire.Challenge{}

	return m, s.read(m, maxHandshakeMessage)
}
