package carobward

import "time"

// LeaveNotice is what a reply's header says about whether its server is leaving. A value
// that can't be parsed says nothing about the server.
type LeaveNotice struct {
	// Present is set if the reply has the header field, Readable if its value could be
	// parsed.
	Present  bool
	Readable bool
}

// IsLeaving reports whether the server is leaving.
func (l LeaveNotice) IsLeaving() bool { return l.Present && l.Readable }

// LeavingAnnouncement announces that a process of a server is leaving.
type LeavingAnnouncement struct {
	Server Instance
	// Start is the start time of the process; zero on platforms whose servers get a new
	// instance with each start.
	Start Start
}

// RetryNotice is what a server that refuses a request says about when the entry VM may
// retry. A value that can't be parsed says nothing.
type RetryNotice struct {
	// Present is set if the reply has the header field, Readable if its value could be
	// parsed.
	Present  bool
	Readable bool
	// Delay is how long, counted from the reply, the server wants no requests.
	Delay time.Duration
}

// Announcements are what servers announced in their replies, as entry VMs relay it to each
// other.
type Announcements struct {
	Limits  []LimitAnnouncement
	Leaving []LeavingAnnouncement
}
