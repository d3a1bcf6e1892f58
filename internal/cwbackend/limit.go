package cwbackend

import (
	"time"

	"carobward.example/carobward"
)

// LimitSource is where a word on a server's limit comes from.
type LimitSource uint8

// The sources of words on limits.
const (
	// ByReply: the server's reply to a request.
	ByReply LimitSource = iota
	// ByLook: its answer to a health check.
	ByLook
	// ByPeer: another entry VM, which had the server's reply.
	ByPeer
)

var limitSourceNames = [...]string{ByReply: "reply", ByLook: "look", ByPeer: "peer"}

// String returns the source's name.
func (s LimitSource) String() string { return limitSourceNames[s] }

// limit is what this entry VM believes of a server's limit.
type limit struct {
	carobward.Limit

	// at is when the server's newest word on it came, to any entry VM.
	at time.Time
	// own is when it last came to this one, since when the limit was named or taken
	// back.
	own   time.Time
	since time.Time
	// looks tells that the server's health answers name it.
	looks bool
}

// TakeLimit takes a word on the server's limit, and tells whether that changes what is
// believed. A word that can't be read does not: a server that has named a limit is still
// in need, for one that has not nothing can be derived.
func (s *Server) TakeLimit(w carobward.LimitWord, from LimitSource) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	old := &s.limit

	// A peer's word may be on an earlier process under the instance.
	if w.At.Before(old.at) || w.At.Before(s.known) {
		return false
	}

	if from == ByLook {
		if !w.Limit.Named && !old.looks {
			// Its health answers do not speak of limits.
			return false
		}

		old.looks = w.Limit.Named
	}

	if from != ByPeer {
		old.own = w.At
	}

	old.at = w.At

	next := w.Limit
	if next.Named && !next.Readable && old.Readable {
		next = old.Limit
	}

	if next == old.Limit {
		return false
	}

	old.Limit, old.since = next, w.At

	return true
}
