package cwclose

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwtest"
)

// TestLeftBytes guards against a close that drops bytes without a log line.
func TestLeftBytes(t *testing.T) {
	for name, c := range map[string]struct {
		theirs string
		want   bool
	}{
		"nothing":                {"", false},
		"a request, not read":    {"GET / HTTP/1.1\r\n\r\n", true},
		"a part of it, not read": {"G", true},
	} {
		t.Run(name, func(t *testing.T) {
			ours, theirs := cwtest.Pair(t)

			if _, err := theirs.Write([]byte(c.theirs)); err != nil {
				t.Fatal(err)
			}

			cwtest.Wait(t, "the bytes to arrive", func() bool {
				n, err := cwsocket.Unread(ours)

				return err == nil && int(n) == len(c.theirs)
			})

			var lines []string

			log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
			conn := New(log).Wrap(ours)

			for range 2 { // A close may come twice.
				_ = conn.Close()
			}

			if got := strings.Contains(strings.Join(lines, "\n"), `"unread"=`); got != c.want || len(lines) > 1 {
				t.Errorf("logged %q", lines)
			}
		})
	}
}
