package cwlog

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Async is a writer that never blocks its callers: lines wait in a bounded
// buffer, and those that find it full are dropped and counted.
type Async struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns a writer with a buffer of so many lines. Close ends it.
func NewAsync(to io.Writer, lines int) *Async {
	a := &Async{to: to, lines: make(chan []byte, lines), done: make(chan struct{})}

	go a.run()

	return a
}

// Write takes one line. It always succeeds.
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

// Close writes the lines that wait. No line may be written afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)

	told := int64(0)

	for line := range a.lines {
		_, _ = a.to.Write(line)

		if n := a.Dropped(); n > told {
			_, _ = fmt.Fprintf(a.to, "log: msg=\"Lines were dropped since the buffer was full.\" dropped=%d\n", n-told)
			told = n
		}
	}
}
