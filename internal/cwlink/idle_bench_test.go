package cwlink

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The network of the benchmark: the brief's time one way, and servers that
// close an idle connection at any time within twice the caller's pause.
const (
	oneWay = time.Millisecond
	pause  = 4 * time.Millisecond
)

// closing answers and closes the connection some time after.
func closing(c net.Conn, req *fasthttp.Request, _ int) bool {
	say(c, req, whole)
	time.AfterFunc(time.Duration(rand.Int64N(int64(2*pause))), func() { _ = c.Close() })

	return true
}

// distant returns the address of a relay to a server that adds the time one
// way to connects, bytes and closes.
func distant(b *testing.B, to carobward.Address) carobward.Address {
	b.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}

	b.Cleanup(func() { _ = ln.Close() })

	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			go relay(c, string(to))
		}
	}()

	return carobward.Address(ln.Addr().String())
}

func relay(c net.Conn, to string) {
	s, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()

		return
	}

	go delay(s, c)

	delay(c, s)
}

// delay copies what comes after the time one way.
func delay(to, from net.Conn) {
	type piece struct {
		due   time.Time
		bytes []byte
	}

	const most = 64

	pieces := make(chan piece, most)

	go func() {
		defer close(pieces)

		for {
			buffer := make([]byte, 4<<10)
			n, err := from.Read(buffer)
			pieces <- piece{time.Now().Add(oneWay), buffer[:n]}

			if err != nil {
				return
			}
		}
	}()

	for p := range pieces {
		<-time.After(time.Until(p.due))

		if len(p.bytes) == 0 {
			break
		}

		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}

	_ = to.Close()

	_, _ = io.Copy(io.Discard, from)
}

// BenchmarkIdleClose counts how often a call is left unknown because its
// server closed the idle connection meanwhile.
func BenchmarkIdleClose(b *testing.B) {
	for _, way := range []struct {
		name  string
		fresh bool
	}{{"liveness", false}, {"fresh", true}} {
		b.Run(way.name, func(b *testing.B) {
			s := newStub(b, closing)
			to := distant(b, s.address)
			l := newLink(b)
			count := map[carobward.Verdict]int{}

			for b.Loop() {
				<-time.After(pause)

				one := call("one")
				one.Fresh = way.fresh

				// The time to connect is one way there and back.
				if way.fresh {
					<-time.After(2 * oneWay)
				}

				if _, err := l.Exchange(context.Background(), to, one); err != nil {
					count[carobward.VerdictOf(err)]++
				}
			}

			b.ReportMetric(1000*float64(count[carobward.Unknown])/float64(b.N), "unknown/1000")
			b.ReportMetric(1000*float64(count[carobward.NotRun])/float64(b.N), "notrun/1000")
			b.ReportMetric(1000*float64(s.conns.Load())/float64(b.N), "conns/1000")
		})
	}
}
