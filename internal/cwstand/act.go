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

// Act is the way in which a scripted server answers one request, correctly or
// not.
type Act string

// The acts. The connection is closed after ActCloseAfter, ActClose, ActReset,
// ActTruncate, ActNoLength and ActUnsolicited.
const (
	ActComplete    Act = "whole"
	ActChunked     Act = "chunked"
	ActInterim     Act = "interim-first"
	ActByteByByte  Act = "byte-by-byte"
	ActCloseAfter  Act = "whole-then-close"
	ActClose       Act = "close"
	ActReset       Act = "reset"
	ActTruncate    Act = "cut"
	ActNoLength    Act = "cut-no-length"
	ActDuplicate   Act = "twice"
	ActStaleFirst  Act = "the-one-before-then-whole"
	ActWrongID     Act = "another-id"
	ActShed        Act = "shed"
	ActUnsolicited Act = "bytes-unasked-then-close"
)

// Acts returns all acts. The complete reply is listed twice, so that a random
// draw yields it more often.
func Acts() []Act {
	return []Act{
		ActComplete, ActComplete, ActChunked, ActInterim, ActByteByByte, ActCloseAfter, ActClose, ActReset, ActTruncate, ActNoLength, ActDuplicate,
		ActStaleFirst, ActWrongID, ActShed, ActUnsolicited,
	}
}

// ReadActs reads one act per line. It skips empty lines and lines that start
// with #.
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

// Actor cycles through a list of acts, one per request, and counts how often
// the work of each request started. Its Serve method is a Script.
type Actor struct {
	acts []Act

	mutex sync.Mutex
	next  int
	// began is the number of times that the work of a request started, by
	// request ID. Shed requests do not count.
	began map[string]int
	last  string
}

// NewActor returns an actor for a non-empty list of acts.
func NewActor(acts []Act) *Actor { return &Actor{acts: acts, began: map[string]int{}} }

// BodyOf returns the body of the correct reply to a request.
func BodyOf(id string) string { return "body of " + id + ", whole" }

// Began returns how many times the work of a request started.
func (a *Actor) Began(id string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.began[id]
}

// Repeated returns the number of requests whose work started more than once.
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

// begin returns the act for a request and the ID of the request before it.
func (a *Actor) begin(id string) (Act, string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	act := a.acts[a.next%len(a.acts)]
	a.next++

	if act != ActShed {
		a.began[id]++
	}

	last := a.last
	a.last = id

	return act, last
}

// Serve answers a request with the next act.
func (a *Actor) Serve(c net.Conn, req *fasthttp.Request, _ int) bool {
	id := RequestID(req)
	act, last := a.begin(id)
	text, keepOpen := act.reply(id, last)

	if act == ActReset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}

	if act != ActByteByByte {
		_, _ = c.Write([]byte(text))

		return keepOpen
	}

	for i := range len(text) {
		_, _ = c.Write([]byte{text[i]})
	}

	return keepOpen
}

// reply returns the bytes that answer the request id, and whether the
// connection stays open. The argument last is the ID of the previous request.
func (a Act) reply(id, last string) (string, bool) {
	body := BodyOf(id)
	complete := completeReply(id)

	switch a {
	case ActChunked:
		return replyHead("200 OK", id) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), true
	case ActInterim:
		return replyHead("103 Early Hints", last) + "\r\n" + complete, true
	case ActDuplicate:
		return complete + complete, true
	case ActStaleFirst:
		return completeReply(last) + complete, true
	case ActWrongID:
		return completeReply(last), true
	case ActShed:
		return replyHead("503 Busy", id) + "Carobward-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", true
	case ActComplete, ActByteByByte:
		return complete, true
	default:
		return a.closingReply(id), false
	}
}

// closingReply returns the bytes of an act that closes the connection.
func (a Act) closingReply(id string) string {
	const (
		// missing is the number of bytes cut off a truncated reply, bodyBytes the
		// number of body bytes sent of a reply without a length.
		missing   = 3
		bodyBytes = 9
	)

	complete := completeReply(id)

	switch a {
	case ActCloseAfter:
		return complete
	case ActUnsolicited:
		return "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
	case ActTruncate:
		return complete[:len(complete)-missing]
	case ActNoLength:
		return replyHead("200 OK", id) + "\r\n" + BodyOf(id)[:bodyBytes]
	default:
		return ""
	}
}

// replyHead returns a status line and the X-Request-Id header.
func replyHead(status, id string) string {
	return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n"
}

// completeReply returns the correct reply to a request.
func completeReply(id string) string {
	body := BodyOf(id)

	return replyHead("200 OK", id) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
