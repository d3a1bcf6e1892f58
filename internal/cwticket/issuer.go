package cwticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// KeySize is the size of an issuer's key in bytes.
const KeySize = 32

// Secret is the key under which an owner sums its tickets. Each run of an
// entry VM draws its own, since only the owner has to check a sum.
type Secret [KeySize]byte

// Issuer issues the tickets of one owner and knows its own again. It counts
// time from its start by the monotonic clock, so that a step of the wall
// clock makes no ticket older or younger.
type Issuer struct {
	owner  Owner
	secret Secret
	// base and age: at the time base the owner was that old.
	base  time.Time
	age   time.Duration
	nonce atomic.Uint64
}

// NewIssuer returns the issuer of an owner that was of an age at the time
// now: zero for our own run, more for one that we stand in for.
func NewIssuer(owner Owner, secret Secret, age time.Duration, now time.Time) *Issuer {
	return &Issuer{owner: owner, secret: secret, base: now, age: age}
}

// Age returns how old the owner is.
func (i *Issuer) Age(now time.Time) time.Duration { return i.age + now.Sub(i.base) }

// Prefix returns a new prefix, to which a caller appends a dot and a number
// of its own.
func (i *Issuer) Prefix(now time.Time) string { return i.issue(now).prefix() }

// Ticket returns a whole new ticket.
func (i *Issuer) Ticket(now time.Time) Ticket { return i.issue(now) }

func (i *Issuer) issue(now time.Time) Ticket {
	t := Ticket{Owner: i.owner, Key: Key{Issued: uint64(i.Age(now).Milliseconds()), Nonce: i.nonce.Add(1)}}
	t.sum = i.sum(t)

	return t
}

func (i *Issuer) sum(t Ticket) [sumSize]byte {
	h := hmac.New(sha256.New, i.secret[:])
	_, _ = h.Write(t.head())
	_, _ = h.Write([]byte(t.Owner.VM))

	return [sumSize]byte(h.Sum(nil)[:sumSize])
}

// The errors of a ticket that is not honoured.
const (
	ErrForged  = errors.ConstError("ticket: its owner did not issue it")
	ErrExpired = errors.ConstError("ticket: it is older than outcomes are kept")
)

// check tells whether the issuer issued a ticket, and not longer ago than
// the horizon.
func (i *Issuer) check(t Ticket, now time.Time, horizon time.Duration) error {
	want := i.sum(t)
	age := i.Age(now)

	if t.Owner != i.owner || !hmac.Equal(want[:], t.sum[:]) || t.Key.issued() > age {
		return ErrForged
	}

	if age-t.Key.issued() >= horizon {
		return ErrExpired
	}

	return nil
}

// VM returns the id of the owner.
func (i *Issuer) VM() carobward.VMID { return i.owner.VM }
