// Package cwdrain tracks which backend servers are leaving, and gossips this
// between the entry VMs, so that all of them stop sending new requests to such a
// server. See docs/design/leave.md.
package cwdrain

import (
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
	"carobward.example/carobward/internal/cwwire"
)

// Source is the origin of the information that a server is leaving.
type Source uint8

// The sources of marks.
const (
	// Announced: the server announced it with a reply.
	Announced Source = iota
	// Health: its health endpoint reported it.
	Health
	// List: the VM list shows it as leaving.
	List
	// Operator: an operator drains it.
	Operator

	numSources
)

var sourceNames = [...]string{Announced: "server", Health: "health", List: "vm-list", Operator: "operator"}

// String returns the name of the source.
func (s Source) String() string {
	if int(s) < len(sourceNames) {
		return sourceNames[s]
	}

	return "unknown"
}

// Mark records whether a server is leaving, according to one source.
type Mark struct {
	Address carobward.Address
	Source  Source
	// On reports whether the server is leaving; a mark that has ended is off.
	On bool
	// Run identifies the run of the server process that the mark is about; 0
	// if unknown.
	Run uint64
	// Time orders the marks of one server and source. It is in seconds since
	// the Unix epoch, but at least one above the previous mark's.
	Time uint64
}

// overrides reports whether the mark overrides the other one. Of two marks with
// the same time, the one that keeps requests away wins.
func (m Mark) overrides(o Mark) bool {
	if m.Time != o.Time {
		return m.Time > o.Time
	}

	if m.On != o.On {
		return m.On
	}

	return m.Run > o.Run
}

// timeGranularity is the number of seconds to which the time of a mark is rounded
// down, so that entry VMs which see the same sign create the same mark and don't
// need to exchange it.
const timeGranularity = 10

// nextTime returns the time for a mark that overrides one with the time before.
func nextTime(now time.Time, before uint64) uint64 {
	seconds := uint64(now.Unix())

	return max(before+1, seconds-seconds%timeGranularity)
}

// maxClockSkew limits how far a peer's mark may be ahead of the local clock.
const maxClockSkew = 24 * time.Hour

// valid reports whether a mark received from a peer is plausible.
func (m Mark) valid(now time.Time) bool {
	const maxAddress = 64

	return m.Source < numSources && m.Address != "" && len(m.Address) <= maxAddress &&
		m.Time <= uint64(now.Add(maxClockSkew).Unix())
}

// level returns how far the mark keeps requests away from the server.
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
		Source:  Source(min(w.GetSource(), uint32(numSources))),
		On:      w.GetOn(),
		Run:     w.GetRun(),
		Time:    w.GetTime(),
	}
}
