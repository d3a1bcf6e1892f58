package delivery

import (
	"fmt"
	"net/http"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

// mbit is one Mbit/s, in bytes a second.
const mbit = 1_000_000 / 8

// work is how long servers work on a request.
const work = 10 * time.Millisecond

// link is a caller's link.
type link struct {
	// window is its receive buffer in bytes, rate what it reads a second.
	window, rate int
	// delay is the one-way delay.
	delay time.Duration
	// pause is how long it stops reading in the middle of an answer.
	pause time.Duration
}

// answer is the answer of a server.
type answer struct {
	length  int
	framing cwstand.Framing
	// stream is how long the server takes to write it.
	stream time.Duration
	// late makes it answer only shortly before an entry VM that stops gives up on answers.
	late bool
}

// pieces is in how many pieces an answer that is streamed is written.
const pieces = 20

// reply returns the reply of the stand-in.
func (a answer) reply() cwstand.Reply {
	if a.stream == 0 {
		return cwstand.Reply{Length: a.length, Framing: a.framing}
	}

	return cwstand.Reply{Length: a.length, Framing: a.framing, Pieces: pieces, Pause: a.stream / pieces}
}

// row is one line of the table of what varies.
type row struct {
	link
	answer

	method string
	// version is the version of HTTP, header has further lines of each request.
	version, header string
	// body is the length of a request's body. It comes in chunks if chunked is set.
	body    int
	chunked bool
	// ahead is how many requests are sent behind the first one, before it is answered.
	ahead int
	// gap is the time between two requests that are sent without waiting for an answer. The entry VM
	// has then read the first one when the next one comes.
	gap time.Duration
	// pauses is how long a connection is idle between two answers and requests.
	pauses time.Duration
	// lingers makes the caller wait for the end of a connection that it has been told is closed.
	lingers bool
}

// need is how long the link takes to carry all answers to the requests sent at a time.
func (r *row) need() time.Duration {
	carried := time.Duration(r.length) * time.Second / time.Duration(r.rate)

	return time.Duration(1+r.ahead)*(work+r.stream+carried) + 2*r.delay + r.pause
}

// vary returns a row that differs from a base in one thing.
func vary(base row, change func(r *row)) row {
	change(&base)

	return base
}

// newBase returns the base case.
func newBase(ahead int) row {
	return row{
		link: link{window: 4 << 10, rate: 20 * mbit}, answer: answer{length: 30_000, framing: cwstand.FramedByLength},
		method: http.MethodGet, version: "HTTP/1.1", ahead: ahead, gap: work / 2, pauses: 2 * work,
	}
}

// newRows returns the table: a base case with a number of requests sent ahead, and what varies one thing of it.
func newRows(ahead int) map[string]row {
	b := newBase(ahead)
	rows := map[string]row{"base": b}

	addLinks(rows, b)
	addAnswers(rows, b)
	addRequests(rows, b)

	return rows
}

// addLinks adds the rows that vary the link.
func addLinks(rows map[string]row, b row) {
	for _, window := range []int{16 << 10, 64 << 10, 1 << 20} {
		rows[fmt.Sprint("window of ", window>>10, " KB")] = vary(b, func(r *row) { r.window = window })
	}

	for _, rate := range []int{1, 5, 100} {
		rows[fmt.Sprint(rate, " Mbit")] = vary(b, func(r *row) { r.rate = rate * mbit })
	}

	for _, delay := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		rows["delay of "+delay.String()] = vary(b, func(r *row) { r.delay = delay })
	}

	rows["reading stops for 1s"] = vary(b, func(r *row) { r.pause = time.Second })
	rows["caller waits for the end"] = vary(b, func(r *row) { r.lingers = true })
}

// addAnswers adds the rows that vary the answer.
func addAnswers(rows map[string]row, b row) {
	rows["answer of 0 bytes"] = vary(b, func(r *row) { r.length = 0 })
	rows["answer of 250 KB"] = vary(b, func(r *row) { r.length = 250_000 })
	rows["answer of 10 MB"] = vary(b, func(r *row) { r.length, r.rate, r.window = 10<<20, 200*mbit, 1<<20 })
	rows["answer in chunks"] = vary(b, func(r *row) { r.framing = cwstand.FramedByChunks })
	rows["answer of 250 KB in chunks"] = vary(b, func(r *row) { r.length, r.framing = 250_000, cwstand.FramedByChunks })
	rows["answer ended by the close"] = vary(b, func(r *row) { r.framing = cwstand.FramedByClose })
	rows["answer streamed for 200ms"] = vary(b, func(r *row) { r.length, r.framing, r.stream = 100_000, cwstand.FramedByChunks, 200*time.Millisecond })
}

// addRequests adds the rows that vary the request.
func addRequests(rows map[string]row, b row) {
	const keyHeader = "Idempotency-Key: k\r\n"

	rows["unsafe"] = vary(b, func(r *row) { r.method = http.MethodPost })
	rows["unsafe with a key"] = vary(b, func(r *row) { r.method, r.header = http.MethodPost, keyHeader })
	rows["unsafe with a body"] = vary(b, func(r *row) { r.method, r.body = http.MethodPost, 2000 })
	rows["body of 200 KB"] = vary(b, func(r *row) { r.method, r.body = http.MethodPost, 200_000 })
	rows["body in chunks"] = vary(b, func(r *row) { r.method, r.body, r.chunked = http.MethodPost, 2000, true })
	rows["connection close"] = vary(b, func(r *row) { r.header = "Connection: close\r\n" })
	rows["HTTP 1.0"] = vary(b, func(r *row) { r.version = "HTTP/1.0" })
	rows["expect 100-continue"] = vary(b, func(r *row) {
		r.method, r.body, r.header = http.MethodPost, 2000, "Expect: 100-continue\r\n"
	})
	rows["8 sent ahead"] = vary(b, func(r *row) { r.ahead = 8 })
	rows["sent ahead at once"] = vary(b, func(r *row) { r.gap = 0 })
	rows["nothing sent ahead"] = vary(b, func(r *row) { r.ahead = 0 })
}
