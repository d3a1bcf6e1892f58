// Package cwaccept keeps listeners accepting while the process is short of descriptors or memory.
// HTTP and RPC servers take an error of Accept for the end of their listener.
package cwaccept

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// The pauses after an error that passes, which double from one to the next.
const (
	minPause = 5 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// logInterval bounds the log lines about such errors.
	logInterval = time.Second
	// shedTimeout is how long a waiting connection is tried to be accepted only to close it.
	shedTimeout = time.Millisecond
)

// passing are the errors that say nothing about the listener itself.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR,
}

// Listener is a listener whose Accept returns only errors after which it accepts nothing any more.
type Listener struct {
	net.Listener

	name   string
	log    logr.Logger
	done   chan struct{}
	once   sync.Once
	failed *atomic.Int64
	// spare is the descriptor of a socket that is closed to have one for a connection that waits, so
	// that its caller learns that it is not served. It is negative if there is none.
	spare  int
	logged time.Time
}

// New returns a listener. Failed counts the errors that were waited out.
func New(ln net.Listener, name string, failed *atomic.Int64, log logr.Logger) *Listener {
	return &Listener{Listener: ln, name: name, failed: failed, log: log.WithName("accept"), done: make(chan struct{}), spare: openSpare()}
}

// openSpare returns the descriptor of a socket that is not used, or -1.
func openSpare() int {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1
	}

	return fd
}

// Accept returns the next connection. It waits while there are no descriptors or no memory for one.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			if l.spare < 0 {
				l.spare = openSpare()
			}

			return c, nil
		}

		if !passes(err) {
			return nil, err
		}

		l.note(err, pause)

		if l.shed() {
			pause = minPause
		}

		select {
		case <-time.After(pause):
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener. It may be called more than once.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })

	return l.Listener.Close()
}

func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}

	return false
}

// note counts and logs an error.
func (l *Listener) note(err error, pause time.Duration) {
	n := l.failed.Add(1)

	if now := time.Now(); now.Sub(l.logged) >= logInterval {
		l.logged = now
		l.log.Info("A connection can't be accepted now; it is tried again.", "listener", l.name, "cause", err.Error(), "pause", pause.String(), "failed", n)
	}
}

// deadliner is a listener whose Accept can have a deadline.
type deadliner interface{ SetDeadline(t time.Time) error }

// shed closes one connection that waits to be accepted: its caller can go elsewhere at once. It
// reports whether there was one.
func (l *Listener) shed() bool {
	d, ok := l.Listener.(deadliner)
	if !ok || l.spare < 0 {
		return false
	}

	_ = syscall.Close(l.spare)
	l.spare = -1

	// The connection may have gone meanwhile, and Accept would wait for the next one.
	if err := d.SetDeadline(time.Now().Add(shedTimeout)); err != nil {
		return false
	}

	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.Close()
	}

	_ = d.SetDeadline(time.Time{}) // Fails only if the listener is closed, which the next Accept returns.
	l.spare = openSpare()

	return err == nil
}
