package cwstand_test

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

const ms = time.Millisecond

func TestSpeedFinish(t *testing.T) {
	slow := cwstand.Slowdown{From: 10 * ms, To: 20 * ms, Factor: 2}
	stall := cwstand.Slowdown{From: 15 * ms, To: 30 * ms, Factor: math.Inf(1)}

	tests := map[string]struct {
		slowdowns         []cwstand.Slowdown
		start, work, want time.Duration
	}{
		"full speed":         {nil, 5 * ms, 7 * ms, 12 * ms},
		"before a slowdown":  {[]cwstand.Slowdown{slow}, 0, 10 * ms, 10 * ms},
		"into a slowdown":    {[]cwstand.Slowdown{slow}, 5 * ms, 7 * ms, 14 * ms},
		"through a slowdown": {[]cwstand.Slowdown{slow}, 5 * ms, 12 * ms, 22 * ms},
		"through a stall":    {[]cwstand.Slowdown{slow, stall}, 12 * ms, 2 * ms, 30*ms + ms/2},
		"endless stall":      {[]cwstand.Slowdown{{Factor: math.Inf(1), To: cwstand.Forever}}, 0, ms, cwstand.Forever},
	}

	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if d := cmp.Diff(tc.want, cwstand.NewSpeed(tc.slowdowns).Finish(tc.start, tc.work)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestNoiseSpeedLoss(t *testing.T) {
	n := cwstand.Noise{Every: 600 * ms, For: 60 * ms, Factor: 5}
	s := cwstand.NewSpeed(n.Slowdowns(7, time.Minute))
	share := s.Work(0, time.Minute).Seconds() / time.Minute.Seconds()

	// The server runs at a fifth of the speed for one eleventh of the time.
	if want := 1 - 0.8/11; math.Abs(share-want) > 0.01 {
		t.Errorf("speed: got %v, want %v", share, want)
	}

	if d := cmp.Diff(n.Slowdowns(7, time.Minute), n.Slowdowns(7, time.Minute)); d != "" {
		t.Errorf("the same seed gave different slowdowns: %s", d)
	}
}

func TestReporter(t *testing.T) {
	busy := cwstand.Load{Slots: 4, Running: 3, Queued: 2}

	tests := map[string]struct {
		reporter cwstand.Reporter
		want     []cwstand.Load
	}{
		"exact": {cwstand.Reporter{}, []cwstand.Load{busy, {Slots: 4}, busy}},
		"stale": {cwstand.Reporter{Lag: 15 * ms}, []cwstand.Load{{Slots: 4}, {Slots: 4}, busy}},
		"idle":  {cwstand.Reporter{Lie: cwstand.LieIdle}, []cwstand.Load{{Slots: 4}, {Slots: 4}, {Slots: 4}}},
		"full": {cwstand.Reporter{Lie: cwstand.LieFull}, []cwstand.Load{
			{Slots: 4, Running: 4, Queued: 2}, {Slots: 4, Running: 4}, {Slots: 4, Running: 4, Queued: 2},
		}},
	}

	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := []cwstand.Load{
				tc.reporter.Report(0, busy), tc.reporter.Report(10*ms, cwstand.Load{Slots: 4}), tc.reporter.Report(20*ms, busy),
			}
			if d := cmp.Diff(tc.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func server(t *testing.T, o cwstand.ServerOptions) *cwstand.Server {
	t.Helper()

	s := cwstand.NewServer(cwtest.Listen(t), o)
	t.Cleanup(s.Close)

	return s
}

// neverFinishes returns a speed at which no work completes.
func neverFinishes() *cwstand.Speed {
	return cwstand.NewSpeed([]cwstand.Slowdown{{Factor: math.Inf(1), To: cwstand.Forever}})
}

// send sends a request without reading the reply, and returns the open
// connection.
func send(t *testing.T, s *cwstand.Server) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", string(s.Address()))
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = c.Close() })

	if _, err := c.Write([]byte("GET /work HTTP/1.1\r\nHost: s\r\n\r\n")); err != nil {
		t.Fatal(err)
	}

	return c
}

// roundTrip sends a request and returns the status and the verdict of the reply.
func roundTrip(t *testing.T, s *cwstand.Server, path, id string) (int, string) {
	t.Helper()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + string(s.Address()) + path)
	req.Header.Set(carobward.HeaderID, id)
	req.Header.Set(carobward.HeaderTimeout, "20")

	if err := (&fasthttp.Client{}).DoTimeout(req, resp, cwtest.MaxWait); err != nil {
		t.Fatal(err)
	}

	return resp.StatusCode(), string(resp.Header.Peek(carobward.HeaderVerdict))
}

func TestServerRefuses(t *testing.T) {
	tests := map[string]struct {
		options cwstand.ServerOptions
		prepare func(t *testing.T, s *cwstand.Server)
		status  int
		verdict string
		want    cwstand.Counts
	}{
		"while draining": {
			cwstand.ServerOptions{Slots: 1}, func(_ *testing.T, s *cwstand.Server) { s.Drain() },
			503, "not-run", cwstand.Counts{Shed: 1, Opened: 1},
		},
		"failing fast": {
			cwstand.ServerOptions{Slots: 1}, func(_ *testing.T, s *cwstand.Server) { s.SetFailing(true) },
			500, "", cwstand.Counts{Failed: 1, Opened: 1},
		},
		"with a full queue": {
			cwstand.ServerOptions{Slots: 1, MaxQueue: 1, Speed: neverFinishes()}, func(t *testing.T, s *cwstand.Server) {
				send(t, s)
				cwtest.Wait(t, "one request runs", func() bool { return s.Counts().Began == 1 })
				send(t, s)
				cwtest.Wait(t, "one request is queued", func() bool { return s.Waiting() == 1 })
			},
			503, "not-run", cwstand.Counts{Began: 1, Shed: 1, Opened: 3},
		},
		"after the timeout": {
			cwstand.ServerOptions{Slots: 1, Speed: neverFinishes()}, func(t *testing.T, s *cwstand.Server) {
				send(t, s)
				cwtest.Wait(t, "one request runs", func() bool { return s.Counts().Began == 1 })
			},
			503, "not-run", cwstand.Counts{Began: 1, Shed: 1, Opened: 2},
		},
	}

	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := server(t, tc.options)
			tc.prepare(t, s)

			status, verdict := roundTrip(t, s, "/work", "a")
			if status != tc.status || verdict != tc.verdict {
				t.Errorf("got %d %q, want %d %q", status, verdict, tc.status, tc.verdict)
			}

			got := s.Counts()
			got.ReportBytes = 0

			if d := cmp.Diff(tc.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestServerStopsCancelledWork(t *testing.T) {
	s := server(t, cwstand.ServerOptions{Slots: 1, Speed: neverFinishes()})
	running, waiting := send(t, s), send(t, s)
	cwtest.Wait(t, "one request runs and one is queued", func() bool { return s.Counts().Began == 1 && s.Waiting() == 1 })

	_ = running.Close()
	_ = waiting.Close()

	cwtest.Wait(t, "both requests have ended", func() bool { c := s.Counts(); return c.Cancelled+c.Shed == 2 })

	if s.Ran() != 0 {
		t.Error("cancelled work completed")
	}
}

func TestServerCounts(t *testing.T) {
	l := cwstand.NewLedger()
	s := server(t, cwstand.ServerOptions{Slots: 1, Ledger: l})
	other := server(t, cwstand.ServerOptions{Slots: 1, Ledger: l})

	roundTrip(t, s, "/work", "a~1")
	roundTrip(t, s, "/work", "b~1")
	roundTrip(t, other, "/work", "a~2")

	status, _ := roundTrip(t, s, cwstand.HealthPath, "c")
	s.Drain()

	drained, _ := roundTrip(t, s, cwstand.HealthPath, "c")
	if status != 200 || drained != 503 {
		t.Errorf("health check: got status %d, then %d while draining", status, drained)
	}

	got := s.Counts().Add(other.Counts())
	if got.ProbeBytes < 100 || got.ReportBytes < 100 {
		t.Errorf("too few bytes of health checks or reports counted: %+v", got)
	}

	got.ProbeBytes, got.ReportBytes = 0, 0
	if d := cmp.Diff(cwstand.Counts{Began: 3, Ran: 3, Repeats: 1, Probes: 2, Opened: 5}, got); d != "" {
		t.Error(d)
	}
}

func TestServerBoundsConnections(t *testing.T) {
	s := server(t, cwstand.ServerOptions{Slots: 1, MaxConns: 1, Speed: neverFinishes()})
	send(t, s)
	cwtest.Wait(t, "one request runs", func() bool { return s.Counts().Began == 1 })

	c, err := net.Dial("tcp", string(s.Address()))
	if err != nil {
		t.Fatal(err)
	}

	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the second connection was not closed")
	}

	if got := s.Counts().Refused; got != 1 {
		t.Errorf("got %d refused connections, want 1", got)
	}
}
