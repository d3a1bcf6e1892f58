package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwsite"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// bodyKind is how a stand-in for a server answers requests.
type bodyKind int

// The kinds of answers. Those without an end go on until the connection is closed.
const (
	endlessChunks bodyKind = iota
	endlessPlain
	endlessError
	endlessHead
	// largePlain and largeChunks have a body of the size of the case.
	largePlain
	largeChunks
)

// more is set to play all cases, loadTime is for how long callers send in each.
var (
	more     = flag.Bool("more", false, "also play the cases of endless and large answers that take long")
	loadTime = flag.Duration("load", 1500*time.Millisecond, "how long callers send requests in each of these cases")
)

const (
	// smallestMemory is the memory limit of the smallest entry VM on the users' platform.
	smallestMemory = 184 * carobward.Megabyte
	callers        = 16
	callerTime     = 1500 * time.Millisecond
)

// startServer starts a stand-in for a server whose answers are of a kind. Health checks succeed.
func startServer(t *testing.T, instance string, kind bodyKind, size int) carobward.Address {
	t.Helper()

	ln := cwtest.Listen(t)
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", instance)
		w.Header().Set("Upstream-Load", "0,0,4,100")

		if !strings.HasPrefix(r.URL.Path, "/a") {
			return
		}

		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}

		defer func() { _ = conn.Close() }()

		write(conn, r.Header.Get("Request-Id"), kind, size)
	})}

	go func() { _ = s.Serve(ln) }()

	t.Cleanup(func() { _ = s.Close() })

	return carobward.Address(ln.Addr().String())
}

// write writes an answer to a connection.
func write(conn net.Conn, id string, kind bodyKind, size int) {
	block := strings.Repeat("x", 8<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal\r\n"

	begin, part, end := head+"\r\n", block, ""

	switch kind {
	case endlessChunks, largeChunks:
		begin, part, end = head+"Transfer-Encoding: chunked\r\n\r\n", chunk, "0\r\n\r\n"
	case endlessError:
		begin, part = strings.Replace(head, "200 OK", "500 Error", 1)+"Transfer-Encoding: chunked\r\n\r\n", chunk
	case endlessHead:
		begin, part = head, "A: "+block+"\r\n"
	case largePlain:
		begin = head + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	case endlessPlain:
	}

	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}

	for sent := 0; size == 0 || sent < size; sent += len(block) {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}

	_, _ = io.WriteString(conn, end)
}

// load is what callers of an entry VM saw.
type load struct {
	sent, whole atomic.Int64
	peak        carobward.ByteCount
	longest     atomic.Int64
}

// run sends requests for a time and follows the memory of the entry VM.
func (l *load) run(v *cwsite.EntryVM, d time.Duration) {
	var group conc.WaitGroup
	defer group.Wait()

	end := time.Now().Add(d)

	for c := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}

			for n := 0; time.Now().Before(end); n++ {
				l.get(client, v, fmt.Sprintf("%d-%d", c, n))
			}
		})
	}

	for tick := time.NewTicker(20 * time.Millisecond); time.Now().Before(end); <-tick.C {
		l.peak = max(l.peak, v.Process().Memory())
	}
}

// get sends one request and reads its answer.
func (l *load) get(client *http.Client, v *cwsite.EntryVM, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(v.Callers)+"/a", http.NoBody)
	if err != nil {
		return
	}

	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callerTime.Milliseconds(), 10))

	began := time.Now()

	l.sent.Add(1)

	resp, err := client.Do(req)
	if err != nil {
		return
	}

	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}

	l.whole.Add(1)

	if took := int64(time.Since(began)); took > l.longest.Load() {
		l.longest.Store(took)
	}
}

// TestEndlessAnswers has some of 24 servers send answers without end, or large ones. An entry VM must
// stay within the memory of the smallest VM, and serve the requests that others get.
func TestEndlessAnswers(t *testing.T) {
	const servers = 24

	type row struct {
		kind  bodyKind
		count int
		size  int
	}

	cases := map[string]row{
		"four, chunks":      {endlessChunks, 4, 0},
		"four, no length":   {endlessPlain, 4, 0},
		"four, errors":      {endlessError, 4, 0},
		"four, heads":       {endlessHead, 4, 0},
		"all chunks, 16 MB": {largeChunks, servers, 16 << 20},
	}

	if *more {
		maps.Copy(cases, map[string]row{
			"none":              {endlessChunks, 0, 0},
			"one, chunks":       {endlessChunks, 1, 0},
			"sixteen, chunks":   {endlessChunks, 16, 0},
			"all large, 1 MB":   {largePlain, servers, 1 << 20},
			"all large, 16 MB":  {largePlain, servers, 16 << 20},
			"all large, 64 MB":  {largePlain, servers, 64 << 20},
			"all chunks, 1 MB":  {largeChunks, servers, 1 << 20},
			"all chunks, 64 MB": {largeChunks, servers, 64 << 20},
		})
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := cwsite.New(t, grace)
			g.Store.Put("op/config", cwstand.MetadataConfig(1, host, cwstand.MetadataRoute{"prefix": "/", "kind": "safe", "service": "records"}))

			for n := range servers {
				instance := fmt.Sprintf("i-%d", n)

				var address carobward.Address

				if n < c.count {
					address = startServer(t, instance, c.kind, c.size)
				} else {
					u := cwstand.NewUpstream(cwtest.Listen(t), carobward.Instance(instance))
					t.Cleanup(u.Close)
					address = u.Address()
				}

				g.Store.Put("servers/"+instance, cwstand.ServerEntry("records", address, "zone-1", "ready"))
			}

			v := g.Start(t)
			cwtest.Wait(t, "the entry VM is ready", v.IsReady)

			before := v.Process().Memory()

			var l load

			l.run(v, *loadTime)

			switch {
			case l.peak >= smallestMemory:
				t.Errorf("%d MB of memory", l.peak/carobward.Megabyte)
			case l.whole.Load() == 0:
				t.Error("no request was answered")
			}

			t.Logf("%s: %d of %d whole, longest %s, memory %d MB, %d MB before", name, l.whole.Load(), l.sent.Load(),
				time.Duration(l.longest.Load()).Round(time.Millisecond), l.peak/carobward.Megabyte, before/carobward.Megabyte)
		})
	}
}
