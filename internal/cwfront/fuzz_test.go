package cwfront

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwtest"
)

// FuzzConnection guards against bytes of a caller's connection that are read as other requests than another
// reader takes them for, that end the process, or whose memory is not given back. Each request is answered with its
// body; where that is done, the body has to be that which net/http reads.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(text))
	}

	f.Fuzz(func(t *testing.T, raw []byte) {
		front, at := newBodyServer(t)

		conn, err := net.Dial("tcp", string(at))
		if err != nil {
			t.Fatal(err)
		}

		defer func() { _ = conn.Close() }()

		_ = conn.SetDeadline(time.Now().Add(cwtest.MaxWait))

		if _, err := conn.Write(raw); err != nil {
			return
		}

		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}

		compareAnswers(t, raw, bufio.NewReader(conn))
		cwtest.Wait(t, "the memory to be given back", func() bool { return front.Requests.Used() == 0 })
	})
}

// compareAnswers compares the answers with the requests that net/http reads.
func compareAnswers(t *testing.T, raw []byte, answers *bufio.Reader) {
	t.Helper()

	requests := bufio.NewReader(bytes.NewReader(raw))

	for {
		skipEmptyLines(requests)

		req, reqErr := http.ReadRequest(requests)

		resp, err := readFinalAnswer(answers, req) //nolint:bodyclose // It is closed below, or brings nothing.
		if err != nil || resp.StatusCode != http.StatusOK {
			return
		}

		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()

		if err != nil {
			t.Fatalf("%q: an answer that ends early: %v", raw, err)
		}

		if reqErr != nil {
			t.Fatalf("%q: a request is served that others refuse: %v", raw, reqErr)
		}

		want, err := io.ReadAll(req.Body)
		if err != nil || !bytes.Equal(got, want) && req.Method != http.MethodHead {
			t.Fatalf("%q: the body %q, others read %q, %v", raw, got, want, err)
		}
	}
}

// skipEmptyLines discards empty lines before a request, RFC 9112, 2.2.
func skipEmptyLines(r *bufio.Reader) {
	for {
		b, err := r.Peek(1)
		if err != nil || b[0] != '\r' && b[0] != '\n' {
			return
		}

		_, _ = r.Discard(1)
	}
}

// readFinalAnswer reads the next answer that is not an interim one.
func readFinalAnswer(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil || resp.StatusCode != http.StatusContinue {
			return resp, err
		}
	}
}
