package cwlog

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Async is a writer that never blocks its callers: lines are queued in a bounded buffer,
// and are dropped and counted if it is full.
type Async struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer with a buffer for the given number of lines. Close stops it.
func NewAsync(to io.Writer, lines int) *Async {
	a := &Async{to: to, lines: make(chan []byte, lines), done: make(chan struct{})}

	go a.run()

	return a
}

// Write queues one line. It always succeeds.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)

	reported := int64(0)

	for line := range a.lines {
		_, _ = a.to.Write(line)

		if n := a.Dropped(); n > reported {
			_, _ = fmt.Fprintf(a.to, "log: msg=\"Log lines were dropped because the buffer was full.\" dropped=%d\n", n-reported)
			reported = n
		}
	}
}
