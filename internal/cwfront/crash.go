package cwfront

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// processState is the state of a server's process after a connection to it broke.
type processState uint8

// The states of a server's process.
const (
	// processUnknown: the network is interrupted, or the server resets connections.
	processUnknown processState = iota
	// processAlive: the process is the same; only the connection broke.
	processAlive
	// processEnded: nothing listens on the address, or another process does.
	processEnded
	// processStopped: the server was removed from the server list before.
	processStopped
)

var processStateNames = [...]string{processUnknown: "unknown", processAlive: "lives", processEnded: "ended", processStopped: "stopped"}

// String returns the state's name as logged.
func (s processState) String() string { return processStateNames[s] }

// The limits of probing whether a server's process has ended.
const (
	// probeTimeout bounds one probe: several round trips between failure domains.
	probeTimeout = 100 * time.Millisecond
	// probeAttempts and probeInterval are for a server that accepts connections and resets
	// them. A process does so for some milliseconds after its end, until the kernel has
	// cleaned up, and a server with too many connections does so for longer.
	probeAttempts = 3
	probeInterval = 40 * time.Millisecond
)

// crashed reports whether a send may have ended the server's process: there was no
// complete answer, and neither the caller nor this entry VM aborted the send.
func (s *send) crashed(ctx context.Context) bool {
	return s.err != nil && !s.overtaken && ctx.Err() == nil && s.mayHaveRun() && !cwframe.IsTimeout(s.err)
}

// processStateOf finds out whether a server's process is still running.
func (r *request) processStateOf(b carobward.Backend) processState {
	switch t := r.front.Servers; {
	case t.HasNewer(b):
		return processEnded
	case !t.Has(b):
		return processStopped
	}

	state := processUnknown

	for try := 1; try <= probeAttempts && state == processUnknown; try++ {
		if try > 1 {
			time.Sleep(probeInterval)
		}

		var again bool
		if state, again = r.probeProcess(b); !again {
			break
		}
	}

	return state
}

// probeProcess makes a health check to see whether the server accepts a connection, and
// tries a new connection if an idle one breaks. Again reports whether another probe may
// show more.
func (r *request) probeProcess(b carobward.Backend) (state processState, again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()

	c := &candidate{}
	reply, err := r.sendCheck(ctx, c, b, false)

	if err != nil && c.held.Reused() {
		c.release()

		reply, err = r.sendCheck(ctx, c, b, true)
	}

	c.release()

	switch {
	case err == nil && (reply.Instance == "" || reply.Instance == b.Instance):
		return processAlive, false
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		return processEnded, false
	default:
		return processUnknown, !cwframe.IsTimeout(err) && ctx.Err() == nil
	}
}
