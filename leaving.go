package carobward

import "time"

// LeaveNotice is whether a reply says that its server leaves. A value that can't be read says
// nothing of the server.
type LeaveNotice struct {
	// Named tells that there is such a field, Readable that it could be read.
	Named    bool
	Readable bool
}

// Says tells whether the server leaves.
func (l LeaveNotice) Says() bool { return l.Named && l.Readable }

// LeavingWord says that a process of a server leaves.
type LeavingWord struct {
	Server Instance
	// Start is that of the process, zero on platforms whose servers get a new instance
	// with each start.
	Start Start
}

// RetryNotice is what a server that refuses a request says of when the entry VM may come back.
// A value that can't be read says nothing.
type RetryNotice struct {
	// Named tells that there is such a field, Readable that it could be read.
	Named    bool
	Readable bool
	// For is for how long from the reply on it wants no requests.
	For time.Duration
}

// ServerWords are what servers said, as entry VMs tell each other.
type ServerWords struct {
	Limits  []LimitWord
	Leaving []LeavingWord
}
