package cwframe_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwkv"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwvmlist"
	"carobward.example/carobward/pkg/cwcaller"
	"carobward.example/carobward/platform"
)

// TestClientReplies guards against clients of the store, the list of VMs and the entry VMs that take a reply for
// valid which others refuse.
func TestClientReplies(t *testing.T) {
	clients := map[string]struct {
		body string
		call func(at carobward.Address) error
	}{
		"the store": {"", func(at carobward.Address) error {
			return platform.NewFeed(at, func() {}).Write(context.Background(), carobward.Batch{})
		}},
		"a value": {`[{"Value":"YQ==","ModifyIndex":7}]`, func(at carobward.Address) error {
			_, err := cwkv.New("http://"+string(at), "", time.Minute, new(expvar.Map).Init()).Get(context.Background(), "a")

			return err
		}},
		"the list of VMs": {`[{"targets":["10.0.0.1:80"],"labels":{"service":"records","domain":"a"}}]`, func(at carobward.Address) error {
			_, err := cwvmlist.New("http://" + string(at)).List(context.Background())

			return err
		}},
		"an entry VM": {"done", func(at carobward.Address) error {
			c := cwcaller.New(cwcaller.Options{Caller: "one", Lookup: []carobward.Address{at}, Timeout: time.Second}, carobward.SystemClock{})
			_, err := c.Do(context.Background(), &cwcaller.Request{Method: "GET", URI: "/a"})

			return err
		}},
	}

	for name, c := range clients {
		ok := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: ran\r\nContent-Length: %d\r\n\r\n%s", carobward.HeaderVerdict, len(c.body), c.body)

		for kind, reply := range map[string]string{
			"valid":             ok,
			"status 000":        strings.Replace(ok, "200", "000", 1),
			"status 099":        strings.Replace(ok, "200", "099", 1),
			"a blank in a name": strings.Replace(ok, "Content-", "A B: c\r\nContent-", 1),
			"NUL in a name":     strings.Replace(ok, "Content-", "A\x00: c\r\nContent-", 1),
			"two lengths":       strings.Replace(ok, "Content-", "Content-Length: 1\r\nContent-", 1),
			"an odd interim":    "HTTP/1.1 000 Go\r\n\r\n" + ok,
			"a cut body":        strings.Replace(ok, "Length: ", "Length: 1", 1),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				s := cwstand.NewScripted(cwtest.Listen(t), func(conn net.Conn, req *fasthttp.Request, _ int) bool {
					if strings.HasPrefix(string(req.URI().Path()), "/addresses") { // The lookup that goes first.
						_, _ = io.WriteString(conn, lookupReply(conn.LocalAddr().String()))

						return true
					}

					_, _ = io.WriteString(conn, reply)

					return false
				})
				t.Cleanup(s.Close)

				if err := c.call(s.Address()); (err == nil) != (kind == "valid") {
					t.Errorf("error %v", err)
				}
			})
		}
	}
}

// lookupReply returns the reply to a lookup that names one entry VM.
func lookupReply(at string) string {
	body := fmt.Sprintf(`{"use":[{"address":%q,"lookup":%q}],"keep":1000,"width":1}`, at, at)

	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
