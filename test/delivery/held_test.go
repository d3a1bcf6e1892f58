package delivery

import (
	"io"
	"net"
	"strings"
	"testing"

	"carobward.example/carobward/internal/cwstand"
)

// dialIdle connects to the first entry VM with a small window.
func dialIdle(t *testing.T, p *play) net.Conn {
	t.Helper()

	d := net.Dialer{Timeout: dialTimeout, Control: cwstand.ReceiveWindow(newBase(0).window)}

	c, err := d.Dial("tcp", string(p.VMs[0].Callers))
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	return c
}

// repeat writes a text again and again until the connection ends.
func repeat(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// TestStopHeld guards against a caller that holds a stop for longer than the grace period. It logs how long
// stops take.
func TestStopHeld(t *testing.T) {
	short := newBase(0)
	long := vary(short, func(r *row) { r.length = cwstand.MaxReplyBody })

	for name, prepare := range map[string]func(t *testing.T, p *play){
		"nothing in progress": func(*testing.T, *play) {},
		"idle connections": func(t *testing.T, p *play) {
			for range 20 {
				dialIdle(t, p)
			}
		},
		"a caller that never reads": func(t *testing.T, p *play) { _, _ = io.WriteString(dialIdle(t, p), long.text("held.1")) },
		"a caller that never stops to send requests": func(t *testing.T, p *play) {
			go repeat(dialIdle(t, p), short.text("held.1"))
		},
		"a caller that never stops to send a body": func(t *testing.T, p *play) {
			c := dialIdle(t, p)
			_, _ = io.WriteString(c, "POST /unsafe/ HTTP/1.1\r\nHost: "+host+"\r\nRequest-Id: held.1\r\nTransfer-Encoding: chunked\r\n\r\n")

			go repeat(c, "1\r\na\r\n")
		},
		"a caller that reads and never stops to send": func(t *testing.T, p *play) {
			c := dialIdle(t, p)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go repeat(c, strings.Repeat(short.text("held.1"), 8))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			p := newPlay(t, grace, 2, 0)
			p.answers["held"] = long.answer
			prepare(t, p)
			p.run(t, func() {})

			if p.took[0] > grace {
				t.Errorf("the stop took %s", p.took[0])
			}
		})
	}
}
