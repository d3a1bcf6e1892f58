// Package cwnews keeps what is known of leaving servers and spreads it between
// the entry VMs. See docs/design/leave.md.
package cwnews

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwwire"
)

// Source is the kind of a sign that a server leaves.
type Source uint8

// The sources.
const (
	// Word: the server said so with a reply.
	Word Source = iota
	// Health: its health endpoint said so.
	Health
	// List: the VM list showed it as leaving.
	List
	// Operator: an operator drained it.
	Operator

	sources
)

var sourceNames = [...]string{Word: "server", Health: "health", List: "vm-list", Operator: "operator"}

// String returns the source's name.
func (s Source) String() string {
	if int(s) < len(sourceNames) {
		return sourceNames[s]
	}

	return "unknown"
}

// Mark is what one kind of sign says of one server.
type Mark struct {
	Address carobward.Address
	Source  Source
	// On tells that the server leaves.
	On bool
	// Run is the run that the mark is of, 0 if not known.
	Run uint64
	// Time orders the marks of one server and source: seconds since the Unix
	// epoch, or one above the mark before.
	Time uint64
}

// later tells whether the mark overrides the other one. Of two at the same
// time, the one that keeps work away does.
func (m Mark) later(o Mark) bool {
	if m.Time != o.Time {
		return m.Time > o.Time
	}

	if m.On != o.On {
		return m.On
	}

	return m.Run > o.Run
}

// timeStep rounds the time of a first mark, so that entry VMs which see the
// same sign make the same mark, and none has to tell the other.
const timeStep = 10

// next returns the time of a mark that overrides the one at hand.
func next(now time.Time, before uint64) uint64 {
	seconds := uint64(now.Unix())

	return max(before+1, seconds-seconds%timeStep)
}

// aheadMost bounds how far ahead of our clock a peer's mark may be.
const aheadMost = 24 * time.Hour

// valid tells whether a peer's mark makes sense.
func (m Mark) valid(now time.Time) bool {
	const addressMost = 64

	return m.Source < sources && m.Address != "" && len(m.Address) <= addressMost &&
		m.Time <= uint64(now.Add(aheadMost).Unix())
}

func (m Mark) level() cwserver.Level {
	switch {
	case !m.On:
		return cwserver.Stays
	case m.Source == Health:
		return cwserver.MayLeave
	default:
		return cwserver.Leaves
	}
}

func (m Mark) wire() *cwwire.Mark {
	return &cwwire.Mark{Address: string(m.Address), Source: uint32(m.Source), On: m.On, Run: m.Run, Time: m.Time}
}

func fromWire(w *cwwire.Mark) Mark {
	return Mark{
		Address: carobward.Address(w.GetAddress()),
		Source:  Source(min(w.GetSource(), uint32(sources))),
		On:      w.GetOn(),
		Run:     w.GetRun(),
		Time:    w.GetTime(),
	}
}
