package cwstand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Act is one thing that a misbehaving server does with a request.
type Act string

// The acts. A cut reply ends the connection, as do the others that say so.
const (
	ActWhole     Act = "whole"
	ActChunked   Act = "chunked"
	ActInterim   Act = "interim-first"
	ActBytes     Act = "byte-by-byte"
	ActLast      Act = "whole-then-close"
	ActClose     Act = "close"
	ActReset     Act = "reset"
	ActCut       Act = "cut"
	ActNoLength  Act = "cut-no-length"
	ActTwice     Act = "twice"
	ActRepeat    Act = "the-one-before-then-whole"
	ActOther     Act = "another-id"
	ActShed      Act = "shed"
	ActUnstarted Act = "bytes-unasked-then-close"
)

// Acts returns all acts; the whole reply is in it twice.
func Acts() []Act {
	return []Act{
		ActWhole, ActWhole, ActChunked, ActInterim, ActBytes, ActLast, ActClose, ActReset, ActCut, ActNoLength, ActTwice,
		ActRepeat, ActOther, ActShed, ActUnstarted,
	}
}

// ReadActs reads one act a line. Empty lines and those that start with # are
// left out.
func ReadActs(r io.Reader) ([]Act, error) {
	var list []Act

	lines := bufio.NewScanner(r)

	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}

		if !slices.Contains(Acts(), Act(text)) {
			return nil, errors.NotValidf("script: line %d: act %q", n, text)
		}

		list = append(list, Act(text))
	}

	if err := lines.Err(); err != nil {
		return nil, errors.Annotate(err, "script")
	}

	if len(list) == 0 {
		return nil, errors.NotValidf("script: no acts")
	}

	return list, nil
}

// Actor works through a list of acts, again from the start at its end, and
// knows what it did. Its Serve is a Script.
type Actor struct {
	acts []Act

	mutex sync.Mutex
	next  int
	// began counts the work by request id; shed work did not begin.
	began map[string]int
	last  string
}

// NewActor returns an actor for a list of acts that is not empty.
func NewActor(acts []Act) *Actor { return &Actor{acts: acts, began: map[string]int{}} }

// BodyOf returns the only right body for a request.
func BodyOf(id string) string { return "body of " + id + ", whole" }

// Began returns how many times the work of a request began.
func (a *Actor) Began(id string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.began[id]
}

// Repeated returns the number of requests whose work began more than once.
func (a *Actor) Repeated() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	n := 0

	for _, b := range a.began {
		if b > 1 {
			n++
		}
	}

	return n
}

// begin takes the next act for a request, and returns the id before it.
func (a *Actor) begin(id string) (Act, string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	one := a.acts[a.next%len(a.acts)]
	a.next++

	if one != ActShed {
		a.began[id]++
	}

	last := a.last
	a.last = id

	return one, last
}

// Serve does the next act.
func (a *Actor) Serve(c net.Conn, req *fasthttp.Request, _ int) bool {
	id := RequestID(req)
	one, last := a.begin(id)
	text, stay := one.reply(id, last)

	if one == ActReset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}

	if one != ActBytes {
		_, _ = c.Write([]byte(text))

		return stay
	}

	for i := range len(text) {
		_, _ = c.Write([]byte{text[i]})
	}

	return stay
}

// reply returns the bytes for a request after the last one, and whether the
// connection stays open.
func (a Act) reply(id, last string) (string, bool) {
	body := BodyOf(id)
	whole := plain(id)

	switch a {
	case ActChunked:
		return head("200 OK", id) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), true
	case ActInterim:
		return head("103 Early Hints", last) + "\r\n" + whole, true
	case ActTwice:
		return whole + whole, true
	case ActRepeat:
		return plain(last) + whole, true
	case ActOther:
		return plain(last), true
	case ActShed:
		return head("503 Busy", id) + "Carobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", true
	case ActWhole, ActBytes:
		return whole, true
	default:
		return a.end(id), false
	}
}

// end returns the bytes of an act that ends the connection.
func (a Act) end(id string) string {
	const (
		// cutOff is what is missing of a cut reply, partial what comes of
		// one without a length.
		cutOff  = 3
		partial = 9
	)

	whole := plain(id)

	switch a {
	case ActLast:
		return whole
	case ActUnstarted:
		return "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
	case ActCut:
		return whole[:len(whole)-cutOff]
	case ActNoLength:
		return head("200 OK", id) + "\r\n" + BodyOf(id)[:partial]
	default:
		return ""
	}
}

// head returns a status line and the id.
func head(status, id string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n"
}

// plain returns the right reply to a request.
func plain(id string) string {
	body := BodyOf(id)

	return head("200 OK", id) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
