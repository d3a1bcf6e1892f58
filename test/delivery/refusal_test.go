package delivery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// The lengths of what is refused: the header and the body are longer than any that an entry VM reads, the
// last one is longer than the configuration allows.
const (
	longHeader = 64 << 10
	longBody   = 80 << 20
	largeBody  = 3 << 20
)

// refusals are requests that are refused, most of them before all of them has been read. Of the longest body
// only a part is sent before the caller looks for an answer.
var refusals = map[string]string{
	"a body that is too long":           bodyOf("Content-Length: %d\r\n\r\n", longBody),
	"a body longer than is allowed":     bodyOf("Content-Length: %d\r\n\r\n", largeBody),
	"a header that is too long":         "GET /safe/ HTTP/1.1\r\nHost: " + host + "\r\nA: " + strings.Repeat("a", longHeader) + "\r\n\r\n",
	"two lengths":                       bodyOf("Content-Length: 1\r\nContent-Length: %d\r\n\r\n", largeBody),
	"not a request":                     strings.Repeat("a", largeBody) + "\r\n\r\n",
	"not a request behind an empty one": "GET /safe/ HTTP/1.1\r\n\r\n" + strings.Repeat("a", longHeader),
}

func bodyOf(format string, length int) string {
	return "POST /unsafe/ HTTP/1.1\r\nHost: " + host + "\r\n" + fmt.Sprintf(format, length) + strings.Repeat("b", largeBody)
}

// refuse sends a request, reads the answer if there is one, and reports its status, 0 if it is cut.
// A caller reads only when it has sent all or can send no more.
func refuse(c net.Conn, text string) (int, error) {
	defer func() { _ = c.Close() }()

	_ = c.SetDeadline(time.Now().Add(cwtest.MaxWait))
	_, sent := io.WriteString(c, text)

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}

	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}

	if !resp.Close {
		return resp.StatusCode, sent
	}

	if _, err := io.Copy(io.Discard, c); err != nil {
		return resp.StatusCode, err
	}

	return resp.StatusCode, sent
}

// TestRefusalCut guards against refusals that callers don't get because the rest of the request is unread
// when the connection is closed, with and without a stop.
func TestRefusalCut(t *testing.T) {
	const (
		callers  = 2
		requests = 10
	)

	p := newPlay(t, grace, 2, 0)
	l := cwstand.NewLink(cwtest.Listen(t), p.VMs[0].Callers, cwstand.LinkShape{Delay: 10 * time.Millisecond, Rate: 100 * mbit, Window: 16 << 10})
	t.Cleanup(l.Close)

	for name, text := range refusals {
		t.Run(name, func(t *testing.T) {
			var (
				group      sync.WaitGroup
				cuts, ends atomic.Int64
			)

			for range callers {
				group.Go(func() {
					for range requests {
						conn, err := net.Dial("tcp", string(l.Address()))
						if err != nil {
							t.Error(err)

							return
						}

						status, err := refuse(conn, text)
						if status == 0 {
							cuts.Add(1)
							t.Logf("cut: %v", err)
						} else if status/100 != 4 {
							t.Errorf("status %d", status)
						}

						if err != nil {
							ends.Add(1)
						}
					}
				})
			}

			group.Wait()
			t.Logf("%d of %d answers cut, %d connections reset", cuts.Load(), callers*requests, ends.Load())

			if n := cuts.Load(); n > 0 {
				t.Errorf("%d of %d answers cut", n, callers*requests)
			}
		})
	}
}
