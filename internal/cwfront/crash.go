package cwfront

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwframe"
)

// life is what a server's address shows after a connection to it broke.
type life uint8

// The states of life.
const (
	// lifeUnknown: a cut, or a server that resets connections.
	lifeUnknown life = iota
	// lifeGoesOn: the process is the same, only the connection broke.
	lifeGoesOn
	// lifeEnded: nothing listens any more, or another process does.
	lifeEnded
	// lifeStopped: the list said before that the server leaves.
	lifeStopped
)

var lifeNames = [...]string{lifeUnknown: "unknown", lifeGoesOn: "lives", lifeEnded: "ended", lifeStopped: "stopped"}

// String returns the state's name in logs.
func (l life) String() string { return lifeNames[l] }

// The figures of finding out whether a server's process has ended.
const (
	// lifeTime bounds one question: some round trips between failure domains.
	lifeTime = 100 * time.Millisecond
	// lifeTries and lifePause are for a server that takes connections and resets
	// them: as a process does whose end the kernel has not finished, for some
	// milliseconds, or one that has too many connections, for longer.
	lifeTries = 3
	lifePause = 40 * time.Millisecond
)

// crashed tells whether a send may have ended the server's process: no whole answer
// came and neither the caller nor this entry VM broke it off.
func (s *sent) crashed(ctx context.Context) bool {
	return s.err != nil && !s.overtaken && ctx.Err() == nil && s.mayHaveRun() && !cwframe.IsTimeout(s.err)
}

// lifeOf returns what has become of a server.
func (r *request) lifeOf(b carobward.Backend) life {
	switch t := r.front.Servers; {
	case t.HasNewer(b):
		return lifeEnded
	case !t.Has(b):
		return lifeStopped
	}

	state := lifeUnknown

	for try := 1; try <= lifeTries && state == lifeUnknown; try++ {
		if try > 1 {
			time.Sleep(lifePause)
		}

		var again bool
		if state, again = r.callOn(b); !again {
			break
		}
	}

	return state
}

// callOn makes a health check for the sake of its connection, a new one where an idle
// one breaks, too. Again tells that a further one may show more.
func (r *request) callOn(b carobward.Backend) (state life, again bool) {
	ctx, cancel := context.WithTimeout(context.Background(), lifeTime)
	defer cancel()

	l := &looked{}
	reply, err := r.ask(ctx, l, b, false)

	if err != nil && l.held.Used() {
		l.release()

		reply, err = r.ask(ctx, l, b, true)
	}

	l.release()

	switch {
	case err == nil && (reply.Instance == "" || reply.Instance == b.Instance):
		return lifeGoesOn, false
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		return lifeEnded, false
	default:
		return lifeUnknown, !cwframe.IsTimeout(err) && ctx.Err() == nil
	}
}
