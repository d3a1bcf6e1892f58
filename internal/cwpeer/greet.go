package cwpeer

import (
	"crypto/hmac"
	"net"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwwire"
)

// The bounds of a connection whose other side is not known yet.
const (
	greetTimeout = time.Second
	maxGreeting  = 128
)

// greet proves each side to the other before anything else is read. Fresh
// nonces of both sides go into both proofs, so that no proof can be replayed.
//
//	client: nonce
//	server: nonce, proof
//	client: proof
func greet(c net.Conn, s *stream, side func(*stream) error) error {
	if err := c.SetDeadline(time.Now().Add(greetTimeout)); err != nil {
		return errors.Annotate(err, "peer")
	}

	if err := side(s); err != nil {
		return errors.Annotate(err, "peer: greeting")
	}

	return errors.Annotate(c.SetDeadline(time.Time{}), "peer")
}

// greetServer is the side of the peer that dialled.
func (k Key) greetServer(s *stream) error {
	nonce := newNonce()

	if err := s.write(&cwwire.Challenge{Nonce: nonce}); err != nil {
		return err
	}

	answer, err := readChallenge(s)
	if err != nil {
		return err
	}

	if len(answer.Nonce) != nonceSize || !hmac.Equal(answer.Proof, k.sum(labelServer, nonce, answer.Nonce)) {
		return ErrKey
	}

	return s.write(&cwwire.Challenge{Proof: k.sum(labelClient, nonce, answer.Nonce)})
}

// greetClient is the side of the peer that accepted.
func (k Key) greetClient(s *stream) error {
	first, err := readChallenge(s)
	if err != nil {
		return err
	}

	if len(first.Nonce) != nonceSize {
		return ErrKey
	}

	nonce := newNonce()
	if err := s.write(&cwwire.Challenge{Nonce: nonce, Proof: k.sum(labelServer, first.Nonce, nonce)}); err != nil {
		return err
	}

	last, err := readChallenge(s)
	if err != nil {
		return err
	}

	if !hmac.Equal(last.Proof, k.sum(labelClient, first.Nonce, nonce)) {
		return ErrKey
	}

	return nil
}

func readChallenge(s *stream) (*cwwire.Challenge, error) {
	m := &cwwire.Challenge{}

	return m, s.read(m, maxGreeting)
}
