package delivery

import (
	"flag"
	"testing"
	"time"
)

var callersPerRow = flag.Int("callers", 2, "how many callers there are for each row and entry VM")

const grace = 6 * time.Second

// TestAnswersCutByClose guards against answers that are cut because an entry VM that stops closes the
// connection with bytes unread.
func TestAnswersCutByClose(t *testing.T) {
	t.Parallel()

	p := newPlay(t, grace, 2, 0)
	p.addAll(t, newRows(1), *callersPerRow)
	p.run(t, func() {})
	p.checkRows(t)
}

// exitRows are the rows, among those with nothing sent ahead, that are played on an entry VM of their own: the
// slowest answer of each decides when the process ends.
var exitRows = []string{
	"base", "1 Mbit", "100 Mbit", "delay of 10ms", "delay of 100ms", "window of 64 KB", "window of 1024 KB", "reading stops for 1s", "answer of 250 KB",
	"answer of 10 MB", "answer of 250 KB in chunks", "answer ended by the close", "answer streamed for 200ms", "unsafe", "HTTP 1.0", "caller waits for the end",
}

// TestAnswersCutByExit guards against answers that are cut because the process ends, and the machine with
// it, before callers have them.
func TestAnswersCutByExit(t *testing.T) {
	t.Parallel()

	p := newPlay(t, grace, len(exitRows)+1, make([]time.Duration, len(exitRows))...)
	p.goes = true
	rows := newRows(0)

	for i, name := range exitRows {
		p.to = []int{i}
		p.add(t, name, vary(rows[name], func(r *row) { r.pauses = 0 }), *callersPerRow)
	}

	p.run(t, func() {})
	p.checkRows(t)
}
