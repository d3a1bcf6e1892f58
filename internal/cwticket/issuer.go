package cwticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// KeySize is the size of a Secret in bytes.
const KeySize = 32

// Secret is the HMAC key of an owner's tickets. Each run of an entry VM
// generates its own, since only the owner has to verify its tickets.
type Secret [KeySize]byte

// Issuer issues and verifies the tickets of one owner. The age of tickets
// follows the monotonic clock, so that a step of the wall clock doesn't change
// it.
type Issuer struct {
	owner  Owner
	secret Secret
	// age is how old the owner was at the time base.
	base  time.Time
	age   time.Duration
	nonce atomic.Uint64
}

// NewIssuer returns the issuer of an owner with the given age at the time
// now. The age is zero for this process's own run and above zero for an owner
// whose tickets this process took over.
func NewIssuer(owner Owner, secret Secret, age time.Duration, now time.Time) *Issuer {
	return &Issuer{owner: owner, secret: secret, base: now, age: age}
}

// Age returns how old the owner is.
func (i *Issuer) Age(now time.Time) time.Duration { return i.age + now.Sub(i.base) }

// Prefix returns a new ticket prefix, to which a caller appends a dot and a
// number.
func (i *Issuer) Prefix(now time.Time) string { return i.issue(now).prefix() }

// Ticket returns a new ticket with the number zero.
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

// Errors of a ticket that its owner rejects.
const (
	ErrForged  = errors.ConstError("ticket: its owner did not issue it")
	ErrExpired = errors.ConstError("ticket: it is older than outcomes are kept")
)

// check returns an error if the issuer didn't issue the ticket, or issued it
// a horizon or more ago.
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
